package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.sample.AttemptFailure
import dev.vanillarun.core.sample.GroupSpec
import dev.vanillarun.core.sample.Sample
import dev.vanillarun.core.sample.SampleId
import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/** One attempt to generate a sample. */
public data class GenerationRequest(
    /** Request id, also sent to the target. */
    public val requestId: String,
    /** Customer whose limits and usage apply. */
    public val customer: Customer,
    /** Route whose targets serve the model. */
    public val route: Route,
    /** Sample to generate, by group and index. */
    public val sample: SampleId,
    /** Number of this attempt at the sample, from 1. */
    public val attempt: Int,
    /** Prompt, token limit and seed. */
    public val group: GroupSpec,
    /** Targets that failed this sample before; used only if no other target is free. */
    public val avoided: Set<TargetId>,
    /** Oldest weight version that a target may serve for this attempt. */
    public val oldestAllowed: WeightVersion,
    /** Deadline of the step. */
    public val deadline: Instant,
)

/** Result of an attempt. */
public sealed interface SampleResult {
    /** The target returned a complete sample with its weight versions. */
    public data class Completed(
        /** Text with the target, attempt and weight versions that produced it. */
        public val sample: Sample,
    ) : SampleResult

    /** The attempt gave no sample. */
    public data class Failed(
        /** Cause, which decides whether the sample is attempted again. */
        public val failure: AttemptFailure,
        /** Delay before the next attempt; null allows it at once. */
        public val retryAfter: Duration? = null,
    ) : SampleResult
}

/** Generates samples on model engines. Cancelling the coroutine cancels the request at the target. */
public fun interface SampleGenerator {
    /** Runs one attempt; failures are returned, not thrown. */
    public suspend fun generate(request: GenerationRequest): SampleResult
}
