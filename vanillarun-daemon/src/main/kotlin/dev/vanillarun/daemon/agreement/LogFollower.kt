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

/** State of a [LogFollower]: the folded streams, and how current they are. */
public data class LogFollowerState<S>(
    /** Folded state, and the offset at which the next read starts. */
    public val view: LogView<S>,
    /** True once the follower has read to the end of the log or was given an initial state. */
    public val ready: Boolean,
    /** True if the last read returned a page; false before the first read and during an outage. */
    public val reachable: Boolean = false,
    /** Time of the last read to which the log responded; null before the first. */
    public val readAt: Instant? = null,
    /** Earliest offset that the log retains, as of the last page read. */
    public val firstRetained: Offset = Offset.Start,
    /** Offset after the newest record of the log, as of the last page read. */
    public val end: Offset = Offset.Start,
) {
    /** Number of offsets between the next read and [end]; zero once caught up. */
    public val lag: Long get() = maxOf(0, end.value - view.next.value)

    /** Folded state of [view]. */
    public val state: S get() = view.state
}

/**
 * Follows streams of the log by long polling and folds them through a reducer.
 *
 * Pages are read without delay until the end of the log is reached. While the log is unavailable, the follower keeps
 * its state and retries with backoff and jitter.
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
    private val mutableState =
        MutableStateFlow(LogFollowerState(view = initial ?: reducer.start(), ready = initial != null))

    /** Latest state; conflated, so collectors may miss intermediate values. */
    public val state: StateFlow<LogFollowerState<S>> = mutableState.asStateFlow()

    /** Replaces the state by a peer's [view] unless this follower has read further; marks the follower ready. */
    public fun adopt(view: LogView<S>) {
        mutableState.update { if (view.next >= it.view.next) it.copy(view = view, ready = true) else it }
    }

    /** Reads the log until the calling coroutine is cancelled. */
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
     * Performs one read and returns false if the log is unavailable. At startup and after an outage the read does not
     * wait for new records, so that reachability is known without waiting for the next append.
     */
    private suspend fun poll(): Boolean {
        val before = mutableState.value
        val result = log.read(streams, before.view.next, wait = if (before.followsEnd) wait else Duration.ZERO)
        val now = clock.now()
        mutableState.update { current ->
            when (result) {
                is ReadResult.Page -> current.withPage(result, now)
                is ReadResult.Truncated -> current.copy(view = reducer.resume(current.view, result), readAt = now)
                is ReadResult.Unavailable -> current.copy(reachable = false)
            }
        }
        return result !is ReadResult.Unavailable
    }

    private val LogFollowerState<S>.followsEnd: Boolean get() = ready && reachable

    private fun LogFollowerState<S>.withPage(page: ReadResult.Page, now: Instant): LogFollowerState<S> {
        val newView = reducer.read(view, page)
        return copy(
            view = newView,
            ready = ready || newView.next >= page.end,
            reachable = true,
            readAt = now,
            firstRetained = page.firstRetained,
            end = page.end,
        )
    }
}
