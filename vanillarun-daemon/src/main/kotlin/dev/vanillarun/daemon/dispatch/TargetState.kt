package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.health.TargetHealth
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.quarantine.QuarantineLevel
import dev.vanillarun.core.routing.LoadReport
import dev.vanillarun.core.routing.TargetStats
import dev.vanillarun.core.routing.TargetView
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/** One attempt in progress at a target. */
public class RunningAttempt internal constructor(
    /** Target that runs it. */
    public val state: TargetState,
    /** Expected work, in tokens. */
    public val work: Long,
    /** Content of the request; null where no fingerprint was taken. */
    public val fingerprint: Fingerprint?,
    /** What else may run at the target meanwhile. */
    public val quarantineLevel: QuarantineLevel,
    /** When it was sent. */
    public val startedAt: Instant,
    private val depthAtStart: Double,
) {
    /** A whole answer came after [actualWork] tokens. */
    public fun succeeded(actualWork: Long, now: Instant) {
        state.end(this) { it.completed(actualWork, now - startedAt, depthAtStart, state.target.concurrency) }
        state.signal(HealthSignal.Success, now)
    }

    /** It ended without a whole answer; [signal] says what that tells about the target. */
    public fun failed(signal: HealthSignal?, now: Instant) {
        state.end(this) { it.released(work) }
        signal?.let { state.signal(it, now) }
    }
}

/** What this instance knows of one target. */
public class TargetState(initial: Target, private val clock: MonotonicClock) {
    private val statsRef = AtomicReference(TargetStats())
    private val healthRef = AtomicReference(TargetHealth())
    private val reserved = AtomicBoolean()
    private val attempts = ConcurrentHashMap.newKeySet<RunningAttempt>()

    /** Configuration of the target. */
    @Volatile
    public var target: Target = initial
        internal set

    /** True if it is about to leave. */
    @Volatile
    public var leaving: Boolean = false
        internal set

    /** Weight version that the target last reported, if it is an engine. */
    @Volatile
    public var version: WeightVersion? = null
        internal set

    /** Identity. */
    public val id: TargetId get() = target.id

    /** What was observed. */
    public val stats: TargetStats get() = statsRef.get()

    /** Health. */
    public val health: TargetHealth get() = healthRef.get()

    /** Attempts of this instance in progress. */
    public val running: Set<RunningAttempt> get() = attempts

    /** True while one request has the target of this instance for itself. */
    public val isReserved: Boolean get() = reserved.get()

    internal fun reserve(): Boolean = reserved.compareAndSet(false, true)

    internal fun unreserve(): Unit = reserved.set(false)

    /** Marks an attempt as sent. */
    public fun begin(
        work: Long,
        fingerprint: Fingerprint? = null,
        quarantineLevel: QuarantineLevel = QuarantineLevel.NORMAL,
    ): RunningAttempt {
        val now = clock.now()
        val depth = stats.depth(now, target.concurrency)
        val attempt = RunningAttempt(this, work, fingerprint, quarantineLevel, now, depth)
        attempts += attempt
        statsRef.updateAndGet { it.started(work) }
        return attempt
    }

    internal fun end(attempt: RunningAttempt, change: (TargetStats) -> TargetStats) {
        if (!attempts.remove(attempt)) return
        statsRef.updateAndGet { change(it) }
        if (attempt.quarantineLevel == QuarantineLevel.ISOLATED) unreserve()
    }

    /** Takes in a sign of the target's health. */
    public fun signal(signal: HealthSignal, now: Instant) {
        val before = health.isEjected(now)
        val after = healthRef.updateAndGet { it.after(signal, now) }
        if (before && !after.isEjected(now)) statsRef.updateAndGet { it.returned() }
    }

    /** Takes in a load report. */
    public fun reported(report: LoadReport) {
        statsRef.updateAndGet { it.reported(report) }
    }

    /** The target as the selection sees it. */
    public fun view(ejected: Boolean): TargetView = TargetView(
        id = id,
        dataCentre = target.dataCentre,
        concurrency = target.concurrency,
        stats = stats,
        reclaimable = target.reclaimable,
        costPerHourMilli = target.costPerHourMilli,
        leaving = leaving,
        ejected = ejected,
    )
}
