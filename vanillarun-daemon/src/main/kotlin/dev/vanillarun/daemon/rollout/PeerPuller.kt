package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.sample.RunnerAddress
import dev.vanillarun.core.sample.StepKey
import kotlin.time.Duration

/** A trainer's pull in the form in which it can be forwarded to the instance that runs the step. */
public data class ForwardedPull(
    /** Step that the samples belong to. */
    public val key: StepKey,
    /** Cursor of the trainer's last pull; empty for the first. */
    public val cursor: String,
    /** Maximum number of samples in the response. */
    public val limit: Int,
    /** Maximum time to wait for a first sample (long poll). */
    public val wait: Duration,
    /** Weight version of the trainer; null if the pull gave none, which means the version of the step. */
    public val version: Long?,
) {
    /** Customer whose API key authenticated the pull. */
    public val customer: CustomerId get() = key.customer
}

/** Result of forwarding a pull. */
public sealed interface PeerPullResult {
    /** Response of the peer, to be returned unchanged. */
    public data class Answered(
        /** HTTP status code. */
        public val status: Int,
        /** JSON body as the peer sent it. */
        public val body: String,
    ) : PeerPullResult

    /** The peer did not respond. */
    public data class Unreachable(
        /** Error of the call as text. */
        public val reason: String,
    ) : PeerPullResult
}

/** Forwards pulls to other instances. */
public fun interface PeerPuller {
    /** Forwards [pull] to [runner], the instance that runs the step. */
    public suspend fun pull(runner: RunnerAddress, pull: ForwardedPull): PeerPullResult
}
