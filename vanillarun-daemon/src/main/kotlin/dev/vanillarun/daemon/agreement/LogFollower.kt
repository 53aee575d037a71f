package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.log.LogReducer
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.read
import dev.vanillarun.core.log.resume
import dev.vanillarun.core.log.start
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a follower knows of its streams. */
public data class LogFollowerState<S>(
    /** State and position. */
    public val view: LogView<S>,
    /** True once the follower has read to the end of the log, or was given a state to start from. */
    public val ready: Boolean,
    /** True if the last read was answered. */
    public val reachable: Boolean = false,
    /** When the last answered read returned; null before the first. */
    public val readAt: Instant? = null,
    /** Earliest position that the log keeps, as last seen. */
    public val firstRetained: Offset = Offset.Start,
    /** Position after the newest record of the log, as last seen. */
    public val end: Offset = Offset.Start,
) {
    /** Positions between what was read and the end of the log as last seen. */
    public val lag: Long get() = maxOf(0, end.value - view.next.value)

    /** The folded state. */
    public val state: S get() = view.state
}

/**
 * Follows streams of the log with long polls and folds them through a reducer.
 *
 * One page after another is read without pause while there is something to catch up with. When the log does not answer,
 * the follower keeps its state and comes back with jitter.
 */
public class LogFollower<S>(
    private val log: PlatformLog,
    private val streams: Set<StreamName>,
    private val reducer: LogReducer<S>,
    initial: LogView<S>? = null,
    private val clock: MonotonicClock = SystemClock,
    private val backoff: Backoff = Backoff(),
    private val wait: Duration = 20.seconds,
) {
    private val followed =
        MutableStateFlow(LogFollowerState(view = initial ?: reducer.start(), ready = initial != null))

    /** What is known; conflated. */
    public val state: StateFlow<LogFollowerState<S>> = followed.asStateFlow()

    /** Takes the state that a peer holds, if it is as far as what this follower has read. */
    public fun adopt(view: LogView<S>) {
        followed.update { if (view.next >= it.view.next) it.copy(view = view, ready = true) else it }
    }

    /** Follows until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing {
        var failures = 0
        while (true) {
            if (poll()) {
                failures = 0
            } else {
                delay(backoff.delayAfter(failures))
                failures++
            }
        }
    }

    /**
     * One read; false if the log did not answer. Until a page has come, also after an outage, it asks for an answer
     * without waiting for records, which may be far off.
     */
    private suspend fun poll(): Boolean {
        val before = followed.value
        val result = log.read(streams, before.view.next, wait = if (before.followsEnd) wait else Duration.ZERO)
        val now = clock.now()
        followed.update { known ->
            when (result) {
                is ReadResult.Page -> known.after(result, now)
                is ReadResult.Truncated -> known.copy(view = reducer.resume(known.view, result), readAt = now)
                is ReadResult.Unavailable -> known.copy(reachable = false)
            }
        }
        return result !is ReadResult.Unavailable
    }

    private val LogFollowerState<S>.followsEnd: Boolean get() = ready && reachable

    private fun LogFollowerState<S>.after(page: ReadResult.Page, now: Instant): LogFollowerState<S> {
        val seen = reducer.read(view, page)
        return copy(
            view = seen,
            ready = ready || seen.next >= page.end,
            reachable = true,
            readAt = now,
            firstRetained = page.firstRetained,
            end = page.end,
        )
    }
}
