package dev.vanillarun.daemon.peer

import dev.vanillarun.core.sample.RunnerAddress
import dev.vanillarun.daemon.rollout.ForwardedPull
import dev.vanillarun.daemon.rollout.PeerPullResult
import dev.vanillarun.daemon.rollout.PeerPuller
import dev.vanillarun.protocol.peers.v1.PullSamplesRequest
import kotlin.time.Duration.Companion.seconds

/** Forwards pulls of trainers to the instances that run their steps. */
internal class PeerPullCalls(private val links: PeerLinks) : PeerPuller {
    override suspend fun pull(runner: RunnerAddress, pull: ForwardedPull): PeerPullResult {
        val request = PullSamplesRequest.newBuilder()
            .setTrainer(pull.key.trainer)
            .setStep(pull.key.step)
            .setCustomer(pull.customer.value)
            .setCursor(pull.cursor)
            .setLimit(pull.limit)
            .setWaitMs(pull.wait.inWholeMilliseconds.toInt())
        pull.version?.let(request::setVersion)
        return when (val reply = links.call(runner.address, pull.wait + CALL_MARGIN) { pullSamples(request.build()) }) {
            is PeerReply.Answered -> PeerPullResult.Answered(reply.value.status, reply.value.body)
            is PeerReply.Failed -> PeerPullResult.Unreachable(reply.reason)
        }
    }

    private companion object {
        /** Time for the call itself beyond the wait of the pull. */
        val CALL_MARGIN = 2.seconds
    }
}
