package dev.vanillarun.core.sample

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant

/** Identity of one attempt to generate a sample; unique only within the instance that runs the step. */
public data class AttemptId(
    /** Zero-based position of the sample in the step, see [StepSpec.sampleIds]. */
    public val ordinal: Int,
    /** Number of the attempt at this sample, from one. */
    public val number: Int,
)

/** An attempt in flight. */
public data class RunningAttempt(
    /** Time at which the attempt was started. */
    public val startedAt: Instant,
    /** True if another attempt at the same sample was in flight when this one started. */
    public val hedge: Boolean,
)

/** Reason why an attempt ended without a sample. */
public sealed interface AttemptFailure {
    /** A further attempt may succeed; it should avoid [target] if that is not null. */
    public data class Retryable(
        /** Description of the failure, for the event log and, once the sample is given up, for the trainer. */
        public val reason: String,
        /** Target that failed, null if none was reached. */
        public val target: TargetId? = null,
        /** False if nothing ran, for instance because the target refused the connection. */
        public val countsAsFailure: Boolean = true,
    ) : AttemptFailure

    /** No target had free capacity. Nothing ran, so the attempt does not count towards [MAX_FAILED_ATTEMPTS]. */
    public data class NoCapacity(
        /** Description of the shortage, for the event log. */
        public val reason: String,
    ) : AttemptFailure

    /** A retry can't succeed, for instance because the request crashes targets. */
    public data class Permanent(
        /** Description of the failure, for the event log and the trainer. */
        public val reason: String,
    ) : AttemptFailure
}
