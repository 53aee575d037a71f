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

/** How load reports are asked for. */
public class LoadReaders(
    /** Asks on connections that are kept open. */
    public val kept: LoadReader,
    /** Asks on a connection of its own each time, which alone can tell a silent target from a silent connection. */
    public val fresh: LoadReader,
)

/** Asks the targets that fall to this instance for their load, each at the pace that its reports call for. */
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
        var asking = false
        var said: Said? = null
    }

    /** What a report said that can differ from the one before. */
    private data class Said(val running: Int, val waiting: Int, val version: WeightVersion?)

    private val schedules = HashMap<TargetState, Schedule>()
    private val askedCount = AtomicLong()
    private val silentCount = AtomicLong()

    /** Load reports asked for since the start. */
    public val asked: Long get() = askedCount.get()

    /** Load reports that were asked for and did not come. */
    public val unanswered: Long get() = silentCount.get()

    /** Polls until cancelled. */
    public suspend fun run(): Unit = coroutineScope {
        while (isActive) {
            delay(jittered(pace.minInterval))
            val mine = pool.all().filter(isMine)
            schedules.keys.retainAll(mine.toSet())
            val now = clock.now()
            mine.associateWith { schedules.getOrPut(it) { Schedule(pace.minInterval, now) } }
                .filterValues { !it.asking && it.due <= now }
                .forEach { (state, schedule) ->
                    schedule.asking = true
                    launch { poll(state, schedule, mine.size) }
                }
        }
    }

    override suspend fun probe(state: TargetState): ProbeFinding = found(state, ask(state, readers.fresh))

    /** A kept connection that is silent says nothing about the target, so a new one is asked before it counts. */
    private suspend fun poll(state: TargetState, schedule: Schedule, share: Int) {
        val kept = ask(state, readers.kept)
        val answer = if (kept is LoadReadResult.Silent) ask(state, readers.fresh) else kept
        val found = found(state, answer)
        when {
            found is ProbeFinding.Silent -> state.signal(HealthSignal.LinkFailure, clock.now())
            state.health.linkFailures > 0 -> state.signal(HealthSignal.Success, clock.now())
        }
        schedule.interval = pace.next(schedule.interval, schedule.news(answer), share)
        schedule.due = clock.now() + jittered(schedule.interval) - pace.minInterval
        schedule.asking = false
    }

    private suspend fun ask(state: TargetState, reader: LoadReader): LoadReadResult {
        askedCount.incrementAndGet()
        return reader.read(state.target).also { if (it is LoadReadResult.Silent) silentCount.incrementAndGet() }
    }

    private fun Schedule.news(answer: LoadReadResult): ReportOutcome {
        if (answer is LoadReadResult.Silent) return ReportOutcome.NO_RESPONSE
        val before = said
        said = (answer as? LoadReadResult.Reported)?.let { Said(it.report.running, it.report.waiting, it.version) }
        return if (said == before) ReportOutcome.UNCHANGED else ReportOutcome.CHANGED
    }

    private fun found(state: TargetState, answer: LoadReadResult): ProbeFinding = when (answer) {
        is LoadReadResult.Reported -> {
            state.reported(answer.report)
            state.version = answer.version ?: state.version
            ProbeFinding.Answers(idleAt = answer.report.takenAt.takeIf { answer.report.total == 0 })
        }

        LoadReadResult.Alive -> ProbeFinding.Answers(idleAt = null)

        LoadReadResult.Silent -> ProbeFinding.Silent
    }

    private fun jittered(interval: Duration): Duration =
        interval * random.nextDouble(from = LEAST_PART, until = GREATEST_PART)

    private companion object {
        const val LEAST_PART = 0.75
        const val GREATEST_PART = 1.25
    }
}
