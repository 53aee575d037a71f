package dev.vanillarun.daemon.peer

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.platform.InstanceListing
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.protocol.peers.v1.HeartbeatReply
import dev.vanillarun.protocol.peers.v1.HeartbeatRequest
import dev.vanillarun.protocol.peers.v1.InstanceSummary
import dev.vanillarun.protocol.peers.v1.PeersGrpcKt.PeersCoroutineImplBase
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val Torino = DataCentre("torino")
private const val CRASH = "abc@e1"

/** Timeout for notifications to arrive; far above the usual time. */
private val arrivalTimeout = 20.seconds

/** Content with the crashes of [recent] and nothing else. */
private class FakeContent(private val recent: MutableList<String> = mutableListOf()) : GossipContent {
    /** Completes with the first non-empty list of crashes from a peer. */
    val received = CompletableDeferred<List<String>>()

    override fun summary(local: Boolean): InstanceSummary = InstanceSummary.getDefaultInstance()

    override fun crashes(): List<String> = recent

    override fun summaryReceived(summary: InstanceSummary) = Unit

    override fun crashesReceived(crashes: List<String>) {
        if (crashes.isNotEmpty()) received.complete(crashes)
    }
}

/** Peer that records the reported crashes, and replies with the crash [own] once [open] is complete. */
private class RecordingPeer(private val open: CompletableDeferred<Unit>, private val own: String) :
    PeersCoroutineImplBase() {
    val reported = CompletableDeferred<List<String>>()

    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply {
        reported.complete(request.crashFingerprintsList.toList())
        open.await()
        return HeartbeatReply.newBuilder().addCrashFingerprints(own).build()
    }
}

private fun serve(peerService: RecordingPeer, port: Int = 0): Server =
    NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", port)).addService(peerService).build().start()

private fun listing(port: Int) = InstanceListing(
    age = Duration.ZERO,
    instances = listOf(
        ListedInstance(
            id = InstanceId("torino-2"),
            dataCentre = Torino,
            callerAddress = "",
            peerAddress = "127.0.0.1:$port",
            adminAddress = "",
        ),
    ),
    targets = emptyList(),
)

class GossipTest :
    DescribeSpec({
        val clock = MonotonicClock { Instant(0) }
        val scope = CoroutineScope(Dispatchers.Default)
        afterSpec { scope.cancel() }

        fun gossip(content: GossipContent, links: PeerLinks) = Gossip(
            InstanceId("torino-1"),
            Torino,
            content,
            links,
            clock,
            Random(1),
            interval = 1.seconds,
            scope = scope,
        )

        describe("news that cannot wait") {
            it("reach a peer that did not answer a moment ago") {
                val closed = serve(RecordingPeer(CompletableDeferred(Unit), own = ""))
                val port = closed.port
                closed.shutdownNow().awaitTermination()
                PeerLinks().use { links ->
                    val gossip = gossip(FakeContent(mutableListOf(CRASH)), links)
                    gossip.listed(listing(port))
                    eventually(arrivalTimeout) {
                        gossip.spread()
                        gossip.members.callable(clock.now()).shouldBeEmpty()
                    }
                    val peer = RecordingPeer(CompletableDeferred(Unit), own = "")
                    val server = serve(peer, port)
                    try {
                        gossip.spread()
                        withTimeoutOrNull(arrivalTimeout) { peer.reported.await() } shouldBe listOf(CRASH)
                    } finally {
                        server.shutdownNow()
                    }
                }
            }

            it("are still exchanged with a peer that replies after the spread timeout") {
                val open = CompletableDeferred<Unit>()
                val server = serve(RecordingPeer(open, own = "def@e2"))
                val content = FakeContent(mutableListOf(CRASH))
                try {
                    PeerLinks(timeout = 30.seconds).use { links ->
                        val gossip = gossip(content, links)
                        gossip.listed(listing(server.port))
                        gossip.spread()
                        open.complete(Unit)
                        withTimeoutOrNull(arrivalTimeout) { content.received.await() } shouldBe listOf("def@e2")
                    }
                } finally {
                    server.shutdownNow()
                }
            }
        }
    })
