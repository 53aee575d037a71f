package dev.vanillarun.daemon.peer

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.sample.StepKey
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.RequestIds
import dev.vanillarun.daemon.dispatch.TargetPool
import dev.vanillarun.daemon.rollout.ForwardedPull
import dev.vanillarun.daemon.rollout.PullResult
import dev.vanillarun.daemon.rollout.RolloutJson
import dev.vanillarun.daemon.rollout.RolloutService
import dev.vanillarun.daemon.rollout.error
import dev.vanillarun.daemon.target.TargetProbe
import dev.vanillarun.protocol.peers.v1.FetchStateReply
import dev.vanillarun.protocol.peers.v1.FetchStateRequest
import dev.vanillarun.protocol.peers.v1.HeartbeatReply
import dev.vanillarun.protocol.peers.v1.HeartbeatRequest
import dev.vanillarun.protocol.peers.v1.PeersGrpcKt.PeersCoroutineImplBase
import dev.vanillarun.protocol.peers.v1.ProbeTargetReply
import dev.vanillarun.protocol.peers.v1.ProbeTargetRequest
import dev.vanillarun.protocol.peers.v1.PullSamplesReply
import dev.vanillarun.protocol.peers.v1.PullSamplesRequest
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds

/** gRPC service that handles the calls of other instances. */
internal class PeerService(
    private val gossip: Gossip,
    private val state: PeerState,
    private val pool: TargetPool,
    private val probe: TargetProbe,
    private val rollouts: RolloutService,
    private val ids: RequestIds,
) : PeersCoroutineImplBase() {
    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply = gossip.answer(request)

    override suspend fun fetchState(request: FetchStateRequest): FetchStateReply = state.answer(request)

    override suspend fun probeTarget(request: ProbeTargetRequest): ProbeTargetReply {
        val known = pool[TargetId(request.target)] ?: return ProbeTargetReply.getDefaultInstance()
        val reachable = probe.accepts(known.target)
        return ProbeTargetReply.newBuilder().setKnown(true).setReachable(reachable).build()
    }

    override suspend fun pullSamples(request: PullSamplesRequest): PullSamplesReply {
        val pull = ForwardedPull(
            key = StepKey(CustomerId(request.customer), request.trainer, request.step),
            cursor = request.cursor,
            limit = request.limit,
            wait = request.waitMs.milliseconds,
            version = request.version.takeIf { request.hasVersion() },
        )
        return when (val result = rollouts.pull(pull, mayForward = false)) {
            is PullResult.Delivered -> reply(OK, RolloutJson.delivery(result.delivery))
            is PullResult.Forwarded -> reply(result.status, result.body)
            else -> rejection(result.error())
        }
    }

    private fun rejection(error: ErrorResponse) = reply(error.type.status.value, error.body(ids.next()))

    private fun reply(status: Int, body: String) = PullSamplesReply.newBuilder().setStatus(status).setBody(body).build()

    private companion object {
        const val OK = 200
    }
}

/** Running gRPC server of [PeerService]. */
internal class PeerServer private constructor(
    private val server: Server,
    /** Address that the server listens on, `host:port` with the actual port. */
    val address: String,
) {
    fun stop() {
        server.shutdownNow()
    }

    companion object {
        /** Starts a server on [listen], `host:port`; port 0 chooses a free port. */
        fun start(listen: String, service: PeerService): PeerServer {
            val host = listen.substringBeforeLast(':')
            val socket = InetSocketAddress(host, listen.substringAfterLast(':').toInt())
            val server = NettyServerBuilder.forAddress(socket).addService(service).build().start()
            return PeerServer(server, "$host:${server.port}")
        }
    }
}
