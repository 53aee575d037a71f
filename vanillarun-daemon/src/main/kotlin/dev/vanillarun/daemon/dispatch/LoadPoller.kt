package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.routing.ReportIntervalPolicy
import dev.vanillarun.core.routing.ReportOutcome
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.target.LoadReadResult
import dev.vanillarun.daemon.target.LoadReader
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration

/** The two ways of requesting load reports. */
public class LoadReaders(
    /** Requests reports on persistent connections. */
    public val persistent: LoadReader,
    /** Opens a new connection for each report, which distinguishes an unresponsive target from a dead connection. */
    public val fresh: LoadReader,
)

/** Polls the load of the targets assigned to this instance; the interval of each adapts to its reports. */
public class LoadPoller(
    private val pool: TargetPool,
    private val readers: LoadReaders,
    private val clock: MonotonicClock,
    private val random: Random,
    private val pace: ReportIntervalPolicy,
    private val isMine: (TargetState) -> Boolean,
) : LivenessProbe {
    private class Schedule(var interval: Duration, var due: Instant) {
        @Volatile
        var isPolling = false
        var lastLoad: PolledLoad? = null
    }

    /** The fields of a report that are compared with the previous one. */
    private data class PolledLoad(val running: Int, val waiting: Int, val version: WeightVersion?)

    private val schedules = HashMap<TargetState, Schedule>()
    private val requestCount = AtomicLong()
    private val failureCount = AtomicLong()

    /** Number of load reports requested since the start. */
    public val asked: Long get() = requestCount.get()

    /** Number of requests for load reports that failed or timed out since the start. */
    public val unanswered: Long get() = failureCount.get()

    /** Polls until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        while (isActive) {
            delay(jittered(pace.minInterval))
            val mine = pool.all().filter(isMine)
            schedules.keys.retainAll(mine.toSet())
            val now = clock.now()
            mine.associateWith { schedules.getOrPut(it) { Schedule(pace.minInterval, now) } }
                .filterValues { !it.isPolling && it.due <= now }
                .forEach { (state, schedule) ->
                    schedule.isPolling = true
                    launch { poll(state, schedule, mine.size) }
                }
        }
    }

    override suspend fun probe(state: TargetState): ProbeFinding = finding(state, requestReport(state, readers.fresh))

    /**
     * Polls the target of [state]. A failure on a persistent connection is confirmed on a new one before it counts
     * against the target, since only the connection may be dead.
     */
    private suspend fun poll(state: TargetState, schedule: Schedule, share: Int) {
        val persistent = requestReport(state, readers.persistent)
        val answer = if (persistent is LoadReadResult.Silent) requestReport(state, readers.fresh) else persistent
        val finding = finding(state, answer)
        when {
            finding is ProbeFinding.Silent -> state.signal(HealthSignal.LinkFailure, clock.now())
            state.health.linkFailures > 0 -> state.signal(HealthSignal.Success, clock.now())
        }
        schedule.interval = pace.next(schedule.interval, schedule.outcome(answer), share)
        schedule.due = clock.now() + jittered(schedule.interval) - pace.minInterval
        schedule.isPolling = false
    }

    private suspend fun requestReport(state: TargetState, reader: LoadReader): LoadReadResult {
        requestCount.incrementAndGet()
        return reader.read(state.target).also { if (it is LoadReadResult.Silent) failureCount.incrementAndGet() }
    }

    private fun Schedule.outcome(answer: LoadReadResult): ReportOutcome {
        if (answer is LoadReadResult.Silent) return ReportOutcome.NO_RESPONSE
        val before = lastLoad
        lastLoad =
            (answer as? LoadReadResult.Reported)?.let { PolledLoad(it.report.running, it.report.waiting, it.version) }
        return if (lastLoad == before) ReportOutcome.UNCHANGED else ReportOutcome.CHANGED
    }

    private fun finding(state: TargetState, answer: LoadReadResult): ProbeFinding = when (answer) {
        is LoadReadResult.Reported -> {
            state.reported(answer.report)
            state.version = answer.version ?: state.version
            ProbeFinding.Answers(idleAt = answer.report.takenAt.takeIf { answer.report.total == 0 })
        }

        LoadReadResult.Alive -> ProbeFinding.Answers(idleAt = null)

        LoadReadResult.Silent -> ProbeFinding.Silent
    }

    private fun jittered(interval: Duration): Duration =
        interval * random.nextDouble(from = MIN_JITTER, until = MAX_JITTER)

    private companion object {
        const val MIN_JITTER = 0.75
        const val MAX_JITTER = 1.25
    }
}
