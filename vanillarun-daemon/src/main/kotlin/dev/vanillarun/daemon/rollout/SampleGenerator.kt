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

/** One try at a sample. */
public data class GenerationRequest(
    /** Identity of the exchange, also given to the target. */
    public val requestId: String,
    /** Customer that the work is done for. */
    public val customer: Customer,
    /** Route that serves the model. */
    public val route: Route,
    /** Sample. */
    public val sample: SampleId,
    /** Number of the try. */
    public val attempt: Int,
    /** Prompt and bounds. */
    public val group: GroupSpec,
    /** Targets that failed this sample before. */
    public val avoided: Set<TargetId>,
    /** Oldest weight version that a target may run to be given the work. */
    public val oldestAllowed: WeightVersion,
    /** When the step ends. */
    public val deadline: Instant,
)

/** Outcome of a try. */
public sealed interface GenerationResult {
    /** A whole, attributed sample. */
    public data class Completed(
        /** The sample. */
        public val sample: Sample,
    ) : GenerationResult

    /** No sample. */
    public data class Failed(
        /** Why. */
        public val failure: AttemptFailure,
        /** When to come back; null if at once. */
        public val retryAfter: Duration? = null,
    ) : GenerationResult
}

/** Generates samples on model engines. Cancelling the call cancels the work at the target. */
public fun interface SampleGenerator {
    /** Runs one try. */
    public suspend fun generate(request: GenerationRequest): GenerationResult
}
