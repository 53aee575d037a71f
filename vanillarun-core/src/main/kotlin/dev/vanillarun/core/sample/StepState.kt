package dev.vanillarun.core.sample

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.time.Instant
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import kotlin.time.Duration

/** Counters of a step since this instance runs it, for metrics and the timeline. */
public data class StepCounters(
    /** Attempts started, including hedges. */
    public val started: Int = 0,
    /** Hedges: second attempts started in parallel to a slow one. */
    public val hedged: Int = 0,
    /** Attempts that failed; those that found no capacity or did not run are not counted. */
    public val failed: Int = 0,
    /** Samples discarded because their weight versions were too old. */
    public val stale: Int = 0,
    /** Attempts cancelled because another attempt at the same sample completed first. */
    public val superseded: Int = 0,
)

/**
 * State of a step at the instance that runs it. Every sample is in exactly one of these states: waiting, running (one
 * or two attempts), ready, held by the trainer, failed permanently.
 *
 * All functions are pure; `StepTransitions.kt` has the state transitions.
 */
public data class StepState(
    /** The step as the trainer submitted it. */
    public val spec: StepSpec,
    /** Newest weight version that the trainer or the weight store is known to have reached. */
    public val currentVersion: WeightVersion,
    /** Ordinals of samples without an attempt in flight, in the order in which they are started. */
    public val waiting: PersistentSet<Int>,
    /** Attempts in flight. */
    public val running: PersistentMap<AttemptId, RunningAttempt> = persistentMapOf(),
    /** Generated samples that the trainer has not confirmed yet, by ordinal. */
    public val ready: PersistentMap<Int, Sample> = persistentMapOf(),
    /** Samples that the trainer confirmed with its last pull. */
    public val held: HeldSamples,
    /** Reasons of the samples that failed permanently, by ordinal. */
    public val failed: PersistentMap<Int, String> = persistentMapOf(),
    /** Number of attempts started so far, by ordinal. */
    public val attemptCounts: PersistentMap<Int, Int> = persistentMapOf(),
    /** Number of attempts that ran and failed, by ordinal. */
    public val failureCounts: PersistentMap<Int, Int> = persistentMapOf(),
    /** Targets at which an attempt failed, which the next attempts avoid, by ordinal. */
    public val avoided: PersistentMap<Int, PersistentSet<TargetId>> = persistentMapOf(),
    /** Earliest start of waiting samples in backoff, by ordinal; samples without an entry may start at once. */
    public val backoffUntil: PersistentMap<Int, Instant> = persistentMapOf(),
    /** Durations of completed attempts, the input of [HedgePolicy.threshold]. */
    public val durations: PersistentList<Duration> = persistentListOf(),
    /** Totals for metrics and the timeline; no decision depends on them but the hedge budget. */
    public val counters: StepCounters = StepCounters(),
) {
    /** True once every sample is held by the trainer or failed permanently. */
    public val done: Boolean get() = held.count + failed.size >= spec.size

    /** Limit on the age of a sample at delivery. */
    public val stalenessBound: StalenessBound get() = StalenessBound(spec.maxVersionLag)

    /** Oldest weight version with which an engine may generate samples of this step. */
    public val oldestAllowed: WeightVersion get() = stalenessBound.oldestAllowed(currentVersion)

    /** Attempts in flight for the sample with this [ordinal]. */
    internal fun runningAttempts(ordinal: Int): List<AttemptId> = running.keys.filter { it.ordinal == ordinal }

    /** Creates initial states. */
    public companion object {
        /** Initial state of a new step, or of one taken over from another instance while the trainer holds [held]. */
        public fun of(spec: StepSpec, held: HeldSamples = HeldSamples.none(spec)): StepState = StepState(
            spec = spec,
            currentVersion = WeightVersion(spec.version),
            waiting = held.missing().toPersistentSet(),
            held = held,
        )
    }
}

/** State after an event, with the actions that the caller must take. */
public data class StepTransition(
    /** State after the event. */
    public val state: StepState,
    /** Attempts to start, in order; [state] already counts them as in flight. */
    public val start: List<AttemptId> = emptyList(),
    /** Attempts to cancel; [state] no longer contains them. */
    public val cancel: List<AttemptId> = emptyList(),
)

/** Response to a trainer's pull. */
public data class Delivery(
    /** Samples that the cursor of the pull did not name. */
    public val samples: List<Sample>,
    /** Samples that the trainer holds once it has stored [samples]; the cursor of its next pull. */
    public val held: HeldSamples,
    /** Samples that failed permanently, with the reason. */
    public val failed: List<Pair<SampleId, String>>,
    /** Number of samples still to be delivered after this response. */
    public val remaining: Int,
)

/** State after a pull, with the response. */
public data class PullTransition(
    /** State after the pull. */
    public val state: StepState,
    /** Response to the trainer. */
    public val delivery: Delivery,
)

internal fun emptyTargets(): PersistentSet<TargetId> = persistentSetOf()

internal fun StepState.runningTime(attempt: AttemptId, now: Instant): Duration =
    running[attempt]?.let { now - it.startedAt } ?: Duration.ZERO
