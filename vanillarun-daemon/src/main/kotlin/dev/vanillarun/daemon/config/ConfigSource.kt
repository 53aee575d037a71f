package dev.vanillarun.daemon.config

import dev.vanillarun.core.config.ConfigReducer
import dev.vanillarun.core.config.ConfigState
import dev.vanillarun.core.config.PublishedConfig
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.daemon.agreement.LogFollower
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlin.time.Duration

/** Follows the configuration stream of the log and activates each newer publication. */
public class ConfigSource(log: PlatformLog, wait: Duration) {
    /** Follower of the configuration stream; its state can also be filled from a peer while the log is unavailable. */
    public val follower: LogFollower<ConfigState> =
        LogFollower(log, setOf(StreamName.Config), ConfigReducer, wait = wait)

    private val state = MutableStateFlow<ActiveConfig?>(null)

    /** The active configuration; null until the first one is read. Its offset never decreases. */
    public val active: StateFlow<ActiveConfig?> = state.asStateFlow()

    /** Follows the log until cancelled. [onApplied] runs before [active] changes to the new configuration. */
    public suspend fun run(onApplied: (ActiveConfig) -> Unit): Unit = coroutineScope {
        launch { follower.run() }
        follower.state.collect { followed ->
            val published = followed.state.inForce?.takeIf { followed.ready }
            if (published != null) apply(published, onApplied)
        }
    }

    private fun apply(published: PublishedConfig, onApplied: (ActiveConfig) -> Unit) {
        val newest = state.value?.offset ?: Offset.None
        if (published.publication <= newest) return
        val next = ActiveConfig(published.publication, published.config)
        onApplied(next)
        state.value = next
    }
}
