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

/** What this instance has seen of one target by itself. */
public data class TargetObservations(
    /** Requests of this instance there. */
    public val running: Int = 0,
    /** Mean time of an answer, or between two events of a stream; null while unknown. */
    public val meanLatency: Duration? = null,
    /** Load that the target told last. */
    public val load: TargetLoad? = null,
    /** When it told. */
    public val loadReportedAt: Instant? = null,
    /** Failures in a row. */
    public val failures: Int = 0,
    /** Refusals for want of room in a row. */
    public val refusals: Int = 0,
    /** Until when the target is passed over. */
    public val avoidUntil: Instant? = null,
    /** Newest weight version of each model that its answers named. */
    public val weights: Map<String, WeightVersion> = emptyMap(),
)

/** What this instance has seen of the targets; forgets a target that starts anew. */
public class TargetTracker(private val clock: MonotonicClock) {
    private data class Run(val id: TargetId, val startedAt: Long)

    private val records = ConcurrentHashMap<Run, TargetObservations>()

    private val Replica.run get() = Run(id, startedAt)

    /** What was seen of [replica]. */
    public fun of(replica: Replica): TargetObservations = records[replica.run] ?: TargetObservations()

    /** A request was sent to [replica]. */
    public fun requestStarted(replica: Replica): Unit = change(replica) { it.copy(running = it.running + 1) }

    /** A request to [replica] ended. */
    public fun requestEnded(replica: Replica): Unit = change(replica) { it.copy(running = maxOf(0, it.running - 1)) }

    /** [replica] took [elapsed] for an answer, or for one event. */
    public fun latencyObserved(replica: Replica, elapsed: Duration): Unit = change(replica) {
        val before = it.meanLatency
        it.copy(meanLatency = if (before == null) elapsed else before + (elapsed - before) * SMOOTHING_FACTOR)
    }

    /** [replica] answered. */
    public fun responseReceived(replica: Replica, head: ResponseHead): Unit = change(replica) {
        it.copy(
            failures = 0,
            refusals = if (head.notRun) it.refusals else 0,
            avoidUntil = null,
            load = head.load ?: it.load,
            loadReportedAt = if (head.load != null) clock.now() else it.loadReportedAt,
        )
    }

    /** [replica] serves [version] of [model]. */
    public fun versionObserved(replica: Replica, model: String, version: WeightVersion): Unit =
        versionObserved(replica.id, replica.startedAt, model, version)

    /** The run of [target] that began at [startedAt] serves [version] of [model]. */
    public fun versionObserved(target: TargetId, startedAt: Long, model: String, version: WeightVersion): Unit =
        change(Run(target, startedAt)) { it.copy(weights = it.weights + (model to version)) }

    /** [replica] broke off, was silent or could not be reached. */
    public fun failed(replica: Replica): Unit = change(replica) {
        val backoff = minOf(INITIAL_BACKOFF * (1 shl it.failures.coerceAtMost(MAX_DOUBLINGS)), MAX_BACKOFF)
        it.copy(failures = it.failures + 1, avoidUntil = clock.now() + backoff)
    }

    /** [replica] has no room, or is about to change its weights. */
    public fun overloaded(replica: Replica): Unit = change(replica) {
        val backoff = minOf(REJECTION_BACKOFF * (1 shl it.refusals.coerceAtMost(MAX_DOUBLINGS)), MAX_REJECTION_BACKOFF)
        it.copy(refusals = it.refusals + 1, avoidUntil = clock.now() + backoff)
    }

    /** True if [replica] is not passed over now. */
    public fun usable(replica: Replica): Boolean = of(replica).avoidUntil?.let { clock.now() >= it } ?: true

    /** Version of [model] at [replica], by its announcement and by its own answers. */
    public fun weights(replica: Replica, model: String): Long =
        maxOf(replica.weights[model]?.number ?: 0, of(replica).weights[model]?.number ?: 0)

    /** Forgets targets that are not among [present]. */
    public fun retain(present: Collection<Replica>) {
        val runs = present.mapTo(HashSet()) { it.run }
        records.keys.removeIf { it !in runs && records[it]?.running == 0 }
    }

    private fun change(replica: Replica, change: (TargetObservations) -> TargetObservations) = change(replica.run, change)

    private fun change(run: Run, change: (TargetObservations) -> TargetObservations) {
        records.compute(run) { _, before -> change(before ?: TargetObservations()) }
    }

    private companion object {
        /** Weight of a new observation of speed. */
        const val SMOOTHING_FACTOR = 0.15

        /** Pause after a first failure, doubled by each further one. */
        val INITIAL_BACKOFF = 1.seconds

        /** Targets that crash are back after some seconds. */
        val MAX_BACKOFF = 4.seconds
        const val MAX_DOUBLINGS = 4

        /** Pause after a refusal for want of room, a few typical service times; doubled by each further one. */
        val REJECTION_BACKOFF = 50.milliseconds

        /** A load of weights, during which an engine refuses, takes about 0.9 s. */
        val MAX_REJECTION_BACKOFF = 300.milliseconds
    }
}
