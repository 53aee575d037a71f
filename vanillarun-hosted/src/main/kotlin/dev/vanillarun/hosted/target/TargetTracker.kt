package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** This instance's own observations of one target, without those of other instances. */
public data class TargetObservations(
    /** Number of requests of this instance in flight at the target. */
    public val running: Int = 0,
    /**
     * Moving average of the time to a response or between two stream events, without the slowness of the moment that
     * the target reports; null before the first observation.
     */
    public val meanLatency: Duration? = null,
    /** Time of the latest observation in [meanLatency]; null before the first one. */
    public val latencyObservedAt: Instant? = null,
    /** Load in the latest response that reported it; null if none did. */
    public val load: TargetLoad? = null,
    /** Time at which [load] was received. */
    public val loadReportedAt: Instant? = null,
    /** Number of consecutive failures. */
    public val failures: Int = 0,
    /** Time of the last failure; null if there was none. */
    public val failedAt: Instant? = null,
    /** Number of consecutive rejections for lack of capacity. */
    public val refusals: Int = 0,
    /** Requests that waited when the target refused one with all slots taken; null if it reported none such. */
    public val queueLimit: Int? = null,
    /** End of the backoff; null if there is none. */
    public val avoidUntil: Instant? = null,
    /** Latest weight version observed at the target, by model. */
    public val weights: Map<String, WeightVersion> = emptyMap(),
)

/** Tracks this instance's observations of the targets; a restarted target starts without any. */
public class TargetTracker(private val clock: MonotonicClock) {
    private data class Run(val id: TargetId, val startedAt: Long)

    private val records = ConcurrentHashMap<Run, TargetObservations>()

    private val Replica.run get() = Run(id, startedAt)

    /** True if a target has reported how long work takes on its machine, which it shares with other work. */
    @Volatile
    public var reportsMachines: Boolean = false
        private set

    /** Observations of [replica]; empty before the first request. */
    public fun of(replica: Replica): TargetObservations = records[replica.run] ?: TargetObservations()

    /** Counts a request to [replica] as in flight until [requestEnded]. */
    public fun requestStarted(replica: Replica): Unit = change(replica) { it.copy(running = it.running + 1) }

    /** Ends one request that [requestStarted] counted, whatever its result. */
    public fun requestEnded(replica: Replica): Unit = change(replica) { it.copy(running = maxOf(0, it.running - 1)) }

    /**
     * Updates the mean latency of [replica] with [elapsed], the time of a response or of one event, divided by the
     * slowdown of the target's machine by its latest report.
     */
    public fun latencyObserved(replica: Replica, elapsed: Duration): Unit = change(replica) {
        val now = clock.now()
        val usual = elapsed / (it.report()?.slowdownAt(now) ?: 1.0)
        val before = it.meanLatency
        val mean = if (before == null) usual else before + (usual - before) * SMOOTHING_FACTOR
        it.copy(meanLatency = mean, latencyObservedAt = now)
    }

    /** Ends the backoff of [replica] and stores the load that [head] reports. */
    public fun responseReceived(replica: Replica, head: ResponseHead): Unit = change(replica) {
        if (head.load?.slowdown != null) reportsMachines = true
        it.copy(
            failures = 0,
            refusals = if (head.notRun) it.refusals else 0,
            avoidUntil = null,
            queueLimit = it.queueLimitAfter(head),
            load = head.load ?: it.load,
            loadReportedAt = if (head.load != null) clock.now() else it.loadReportedAt,
        )
    }

    private fun TargetObservations.queueLimitAfter(head: ResponseHead): Int? {
        val reported = head.load ?: return queueLimit
        if (head.notRun && reported.running >= reported.slots) return reported.waiting
        return queueLimit?.let { maxOf(it, reported.waiting) }
    }

    /** Records that [replica] serves [version] of [model]. */
    public fun versionObserved(replica: Replica, model: String, version: WeightVersion): Unit =
        versionObserved(replica.id, replica.startedAt, model, version)

    /** Records that the process run of [target] started at [startedAt] serves [version] of [model]. */
    public fun versionObserved(target: TargetId, startedAt: Long, model: String, version: WeightVersion): Unit =
        change(Run(target, startedAt)) { it.copy(weights = it.weights + (model to version)) }

    /** Backs off from [replica] after it disconnected, stalled or was unreachable. */
    public fun failed(replica: Replica): Unit = change(replica) {
        val backoff = minOf(INITIAL_BACKOFF * (1 shl it.failures.coerceAtMost(MAX_DOUBLINGS)), MAX_BACKOFF)
        it.copy(failures = it.failures + 1, failedAt = clock.now(), avoidUntil = clock.now() + backoff)
    }

    /** Backs off from [replica] after it rejected a request for lack of capacity or during a weight load. */
    public fun overloaded(replica: Replica): Unit = change(replica) {
        val backoff = minOf(REJECTION_BACKOFF * (1 shl it.refusals.coerceAtMost(MAX_DOUBLINGS)), MAX_REJECTION_BACKOFF)
        it.copy(refusals = it.refusals + 1, avoidUntil = clock.now() + backoff)
    }

    /** True unless a backoff from [replica] is in effect. */
    public fun usable(replica: Replica): Boolean = of(replica).avoidUntil?.let { clock.now() >= it } ?: true

    /** Latest weight version of [model] at [replica], announced or observed; 0 if unknown. */
    public fun weights(replica: Replica, model: String): Long =
        maxOf(replica.weights[model]?.number ?: 0, of(replica).weights[model]?.number ?: 0)

    /** Removes observations of targets that are not in [present] and have no request in flight. */
    public fun retain(present: Collection<Replica>) {
        val runs = present.mapTo(HashSet()) { it.run }
        records.keys.removeIf { it !in runs && records[it]?.running == 0 }
    }

    private fun change(replica: Replica, change: (TargetObservations) -> TargetObservations) =
        change(replica.run, change)

    private fun change(run: Run, change: (TargetObservations) -> TargetObservations) {
        records.compute(run) { _, before -> change(before ?: TargetObservations()) }
    }

    private companion object {
        /** Weight of a new latency in the moving average. */
        const val SMOOTHING_FACTOR = 0.15

        /** Backoff after a first failure, doubled by each further one. */
        val INITIAL_BACKOFF = 1.seconds

        /** Maximum backoff after failures; crashed targets restart within seconds. */
        val MAX_BACKOFF = 4.seconds
        const val MAX_DOUBLINGS = 4

        /** Backoff after a rejection, a few typical service times; doubled by each further one. */
        val REJECTION_BACKOFF = 50.milliseconds

        /** Maximum backoff after rejections; an engine rejects requests during a weight load of about 0.9 s. */
        val MAX_REJECTION_BACKOFF = 300.milliseconds
    }
}
