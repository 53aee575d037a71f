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
public data class TargetRecord(
    /** Requests of this instance there. */
    public val running: Int = 0,
    /** Mean time of an answer, or between two events of a stream; null while unknown. */
    public val pace: Duration? = null,
    /** Load that the target told last. */
    public val load: TargetLoad? = null,
    /** When it told. */
    public val loadAt: Instant? = null,
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
public class TargetBook(private val clock: MonotonicClock) {
    private data class Run(val id: TargetId, val startedAt: Long)

    private val records = ConcurrentHashMap<Run, TargetRecord>()

    private val Replica.run get() = Run(id, startedAt)

    /** What was seen of [replica]. */
    public fun of(replica: Replica): TargetRecord = records[replica.run] ?: TargetRecord()

    /** A request was sent to [replica]. */
    public fun began(replica: Replica): Unit = change(replica) { it.copy(running = it.running + 1) }

    /** A request to [replica] ended. */
    public fun ended(replica: Replica): Unit = change(replica) { it.copy(running = maxOf(0, it.running - 1)) }

    /** [replica] took [elapsed] for an answer, or for one event. */
    public fun paced(replica: Replica, elapsed: Duration): Unit = change(replica) {
        val before = it.pace
        it.copy(pace = if (before == null) elapsed else before + (elapsed - before) * GAIN)
    }

    /** [replica] answered. */
    public fun answered(replica: Replica, head: AnswerHead): Unit = change(replica) {
        it.copy(
            failures = 0,
            refusals = if (head.notRun) it.refusals else 0,
            avoidUntil = null,
            load = head.load ?: it.load,
            loadAt = if (head.load != null) clock.now() else it.loadAt,
        )
    }

    /** [replica] serves [version] of [model]. */
    public fun serves(replica: Replica, model: String, version: WeightVersion): Unit =
        serves(replica.id, replica.startedAt, model, version)

    /** The run of [target] that began at [startedAt] serves [version] of [model]. */
    public fun serves(target: TargetId, startedAt: Long, model: String, version: WeightVersion): Unit =
        change(Run(target, startedAt)) { it.copy(weights = it.weights + (model to version)) }

    /** [replica] broke off, was silent or could not be reached. */
    public fun failed(replica: Replica): Unit = change(replica) {
        val pause = minOf(FIRST_PAUSE * (1 shl it.failures.coerceAtMost(MAX_DOUBLINGS)), LONGEST_PAUSE)
        it.copy(failures = it.failures + 1, avoidUntil = clock.now() + pause)
    }

    /** [replica] has no room, or is about to change its weights. */
    public fun full(replica: Replica): Unit = change(replica) {
        val pause = minOf(FULL_PAUSE * (1 shl it.refusals.coerceAtMost(MAX_DOUBLINGS)), LONGEST_FULL_PAUSE)
        it.copy(refusals = it.refusals + 1, avoidUntil = clock.now() + pause)
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

    private fun change(replica: Replica, change: (TargetRecord) -> TargetRecord) = change(replica.run, change)

    private fun change(run: Run, change: (TargetRecord) -> TargetRecord) {
        records.compute(run) { _, before -> change(before ?: TargetRecord()) }
    }

    private companion object {
        /** Weight of a new observation of speed. */
        const val GAIN = 0.15

        /** Pause after a first failure, doubled by each further one. */
        val FIRST_PAUSE = 1.seconds

        /** Targets that crash are back after some seconds. */
        val LONGEST_PAUSE = 4.seconds
        const val MAX_DOUBLINGS = 4

        /** Pause after a refusal for want of room, a few typical service times; doubled by each further one. */
        val FULL_PAUSE = 50.milliseconds

        /** A load of weights, during which an engine refuses, takes about 0.9 s. */
        val LONGEST_FULL_PAUSE = 300.milliseconds
    }
}
