package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.sample.RunnerAddress
import dev.vanillarun.core.sample.StepKey
import kotlin.time.Duration

/** A pull that is passed on to the instance that runs the step. */
public data class ForwardedPull(
    /** Step. */
    public val key: StepKey,
    /** The trainer's cursor. */
    public val cursor: String,
    /** Greatest number of samples. */
    public val limit: Int,
    /** How long the answer may wait. */
    public val wait: Duration,
    /** The trainer's own version, null if it gave none. */
    public val version: Long?,
) {
    /** Customer whose key came with the pull. */
    public val customer: CustomerId get() = key.customer
}

/** Outcome of passing a pull on. */
public sealed interface PeerPullResult {
    /** The peer's own answer. */
    public data class Answered(
        /** HTTP status. */
        public val status: Int,
        /** JSON body. */
        public val body: String,
    ) : PeerPullResult

    /** The peer could not be reached. */
    public data class Unreachable(
        /** What was seen. */
        public val reason: String,
    ) : PeerPullResult
}

/** Passes pulls on to peers. */
public fun interface PeerPuller {
    /** Passes [pull] on to [runner]. */
    public suspend fun pull(runner: RunnerAddress, pull: ForwardedPull): PeerPullResult
}
