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
 * Brings the configuration back into a log that has dropped every snapshot of it.
 *
 * An instance that could not read the log for longer than it keeps records judges no publication any more. One that
 * still judges would write a snapshot within three [interval]s; when none came for longer than that, the newest
 * publication that this instance knows is appended as a snapshot. If another instance was faster with an older one,
 * what this one has in force is published again on that base.
 */
public class ConfigRecovery(
    private val follower: LogFollower<ConfigState>,
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val interval: Duration = 60.seconds,
    private val random: Random = Random.Default,
) {
    /** Watches until the calling coroutine is cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        launch { restoreJudgement() }
        launch { restoreNewest() }
    }

    private suspend fun restoreJudgement(): Nothing {
        while (true) {
            follower.state.first { it.ready && it.state.unconfirmed != null }
            val wait = interval * random.nextDouble(from = LEAST_WAIT, until = GREATEST_WAIT)
            val judged = withTimeoutOrNull(wait) { follower.state.first { it.state.hasBase } }
            if (judged == null) follower.state.value.takeIf { it.reachable }?.view?.toRecovery()?.let { write(it) }
        }
    }

    private suspend fun restoreNewest(): Nothing {
        while (true) {
            follower.state.first { it.state.overtaken() != null }
            delay(interval * random.nextDouble())
            val state = follower.state.value.state
            val base = state.base
            val newest = state.overtaken()
            if (base != null && newest != null) {
                write(ConfigPublication(base, newest.author, newest.message, newest.config))
            }
        }
    }

    /** What is in force here although the log went on from an older publication. */
    private fun ConfigState.overtaken(): PublishedConfig? =
        inForce?.takeIf { base != null && it.publication > checkNotNull(base) }

    private suspend fun write(body: RecordBody) {
        appender.append(StreamName.Config, writer.envelope(body))
    }

    private companion object {
        /** Multiples of the interval, beyond the longest wait between two snapshots. */
        const val LEAST_WAIT = 4.0
        const val GREATEST_WAIT = 6.0
    }
}
