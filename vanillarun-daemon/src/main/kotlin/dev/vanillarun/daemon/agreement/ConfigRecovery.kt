package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.ConfigState
import dev.vanillarun.core.config.PublishedConfig
import dev.vanillarun.core.config.toRecovery
import dev.vanillarun.core.log.ConfigPublication
import dev.vanillarun.core.log.RecordBody
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Restores the configuration to a log that no longer retains any snapshot of it.
 *
 * An instance that could not read the log for longer than the log's retention time has lost the base against which
 * publications are validated. An instance that still has the base would append a snapshot within three [interval]s. If
 * none appears for longer than that, the newest publication that this instance knows is appended as a snapshot. If
 * another instance appended an older publication first, this instance publishes its configuration in force again on
 * that base.
 */
public class ConfigRecovery(
    private val follower: LogFollower<ConfigState>,
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val interval: Duration = 60.seconds,
    private val random: Random = Random.Default,
) {
    /** Monitors the configuration stream until the calling coroutine is cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch { restoreBase() }
        launch { republishNewest() }
    }

    private suspend fun restoreBase(): Nothing {
        while (true) {
            follower.state.first { it.ready && it.state.unconfirmed != null }
            val wait = interval * random.nextDouble(from = MIN_WAIT_INTERVALS, until = MAX_WAIT_INTERVALS)
            val withBase = withTimeoutOrNull(wait) { follower.state.first { it.state.hasBase } }
            if (withBase == null) follower.state.value.takeIf { it.reachable }?.view?.toRecovery()?.let { write(it) }
        }
    }

    private suspend fun republishNewest(): Nothing {
        while (true) {
            follower.state.first { it.state.newerThanBase() != null }
            delay(interval * random.nextDouble())
            val state = follower.state.value.state
            val base = state.base
            val newest = state.newerThanBase()
            if (base != null && newest != null) {
                write(ConfigPublication(base, newest.author, newest.message, newest.config))
            }
        }
    }

    /** Configuration in force on this instance if the log continued from an older publication; null otherwise. */
    private fun ConfigState.newerThanBase(): PublishedConfig? =
        inForce?.takeIf { base != null && it.publication > checkNotNull(base) }

    private suspend fun write(body: RecordBody) {
        appender.append(StreamName.Config, writer.envelope(body))
    }

    private companion object {
        /** Multiples of the interval; above the three intervals between two snapshots. */
        const val MIN_WAIT_INTERVALS = 4.0
        const val MAX_WAIT_INTERVALS = 6.0
    }
}
