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

/** An attempt in progress at a target. */
public class RunningAttempt internal constructor(
    /** Target that runs the attempt. */
    public val state: TargetState,
    /** Expected work, in tokens. */
    public val work: Long,
    /** Fingerprint of the content of the request; null if it was not computed. */
    public val fingerprint: Fingerprint?,
    /** Restriction on what else may run at the target during the attempt. */
    public val quarantineLevel: QuarantineLevel,
    /** When the attempt was registered, just before it is sent. */
    public val startedAt: Instant,
    private val depthAtStart: Double,
) {
    /** Ends the attempt with a complete response; [actualWork] is in tokens. */
    public fun succeeded(actualWork: Long, now: Instant) {
        state.end(this) { it.completed(actualWork, now - startedAt, depthAtStart, state.target.concurrency) }
        state.signal(HealthSignal.Success, now)
    }

    /** Ends the attempt without a complete response; [signal] is null if this implies nothing about the target. */
    public fun failed(signal: HealthSignal?, now: Instant) {
        state.end(this) { it.released(work) }
        signal?.let { state.signal(it, now) }
    }
}

/** State of one target as observed by this instance. Safe for concurrent use. */
public class TargetState(initial: Target, private val clock: MonotonicClock) {
    private val statsRef = AtomicReference(TargetStats())
    private val healthRef = AtomicReference(TargetHealth())
    private val reserved = AtomicBoolean()
    private val attempts = ConcurrentHashMap.newKeySet<RunningAttempt>()

    /** Configuration of the target; replaced when a new configuration becomes active. */
    @Volatile
    public var target: Target = initial
        internal set

    /** True if the target is about to leave; it gets no new attempts. */
    @Volatile
    public var leaving: Boolean = false
        internal set

    /** Weight version that the engine last reported; null for a service, or before the first report. */
    @Volatile
    public var version: WeightVersion? = null
        internal set

    /** Identity of the target. */
    public val id: TargetId get() = target.id

    /** Load and latency statistics. */
    public val stats: TargetStats get() = statsRef.get()

    /** Health, derived from the signals. */
    public val health: TargetHealth get() = healthRef.get()

    /** Attempts of this instance that are in progress at the target. */
    public val running: Set<RunningAttempt> get() = attempts

    /** True while this instance reserves the target for a single isolated request. */
    public val isReserved: Boolean get() = reserved.get()

    internal fun reserve(): Boolean = reserved.compareAndSet(false, true)

    internal fun unreserve(): Unit = reserved.set(false)

    /** Registers an attempt with [work] expected tokens; [RunningAttempt.succeeded] or `failed` has to end it. */
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

    /** Applies a health signal; ending an ejection also drops the load report and restarts the warm-up. */
    public fun signal(signal: HealthSignal, now: Instant) {
        val before = health.isEjected(now)
        val after = healthRef.updateAndGet { it.after(signal, now) }
        if (before && !after.isEjected(now)) statsRef.updateAndGet { it.returned() }
    }

    /** Applies a load report. */
    public fun reported(report: LoadReport) {
        statsRef.updateAndGet { it.reported(report) }
    }

    /** Snapshot for target selection; [ejected] is decided by the pool, which caps ejections. */
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
