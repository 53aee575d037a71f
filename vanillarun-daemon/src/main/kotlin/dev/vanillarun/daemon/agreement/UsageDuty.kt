package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.log.ClosedWindow
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.UsageClose
import dev.vanillarun.core.log.UsageReported
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.UsageReport
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.usage.UsageState
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Closes usage windows and reports them while the lease of the duty is held.
 *
 * Only the figures of windows closed in the log are reported, so every retry by any holder sends the same figures.
 */
public class UsageDuty(
    private val runner: DutyRunner,
    private val follower: LogFollower<UsageState>,
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val reporting: UsageReporting,
    private val window: Duration = 60.seconds,
    private val timeout: Duration = 2.seconds,
    private val tick: Duration = 500.milliseconds,
    private val clock: MonotonicClock = SystemClock,
) {
    private var openWindowSeenAt: Pair<Long, Instant>? = null
    private var confirmed: Set<Long> = emptySet()

    /** Performs the duty whenever the lease is held, until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            delay(tick)
            val observed = follower.state.value
            val term = runner.state.value.term
            if (term != null && observed.ready && observed.state.whole) perform(observed.state, term)
        }
    }

    private suspend fun perform(usage: UsageState, term: Offset) {
        val now = clock.now()
        val since = openWindowSeenAt?.takeIf { it.first == usage.window } ?: (usage.window to now)
        openWindowSeenAt = since
        if (usage.open.isNotEmpty() && now - since.second >= window) close(usage.window, term)
        confirmed = confirmed.filter { number -> usage.closed.any { it.window == number } }.toSet()
        usage.closed.forEach { report(it) }
    }

    private suspend fun close(number: Long, term: Offset) {
        openWindowSeenAt = number to clock.now()
        appender.append(StreamName.Usage, writer.envelope(UsageClose(number, term)))
    }

    private suspend fun report(closed: ClosedWindow) {
        if (closed.window !in confirmed && !send(closed)) return
        confirmed = confirmed + closed.window
        appender.append(StreamName.Usage, writer.envelope(UsageReported(closed.window)))
    }

    private suspend fun send(closed: ClosedWindow): Boolean {
        val result = runner.perform(timeout) { term, guard ->
            reporting.report(UsageReport(closed.window, term, writer.writer, closed.figures), guard, timeout)
        }
        return result is PlatformResult.Answered
    }
}
