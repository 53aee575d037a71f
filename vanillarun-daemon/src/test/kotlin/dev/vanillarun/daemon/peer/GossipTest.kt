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

private val Place = DataCentre("torino")
private const val NEWS = "abc@e1"

/** Time within which news have to come; far above what they take. */
private val patience = 20.seconds

/** Content whose only news are the crashes in [told]. */
private class News(private val told: MutableList<String> = mutableListOf()) : GossipContent {
    /** Completes with the crashes that a peer told of. */
    val learned = CompletableDeferred<List<String>>()

    override fun summary(local: Boolean): InstanceSummary = InstanceSummary.getDefaultInstance()

    override fun crashes(): List<String> = told

    override fun heard(summary: InstanceSummary) = Unit

    override fun heardCrashes(crashes: List<String>) {
        if (crashes.isNotEmpty()) learned.complete(crashes)
    }
}

/** Notes the crashes it is told of, and answers with [own] once [open] is complete. */
private class Listener(private val open: CompletableDeferred<Unit>, private val own: String) :
    PeersCoroutineImplBase() {
    val told = CompletableDeferred<List<String>>()

    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply {
        told.complete(request.crashFingerprintsList.toList())
        open.await()
        return HeartbeatReply.newBuilder().addCrashFingerprints(own).build()
    }
}

private fun serve(listener: Listener, port: Int = 0): Server =
    NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", port)).addService(listener).build().start()

private fun listing(port: Int) = InstanceListing(
    age = Duration.ZERO,
    instances = listOf(
        ListedInstance(
            id = InstanceId("torino-2"),
            dataCentre = Place,
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
            Place,
            content,
            links,
            clock,
            Random(1),
            interval = 1.seconds,
            scope = scope,
        )

        describe("news that cannot wait") {
            it("reach a peer that did not answer a moment ago") {
                val closed = serve(Listener(CompletableDeferred(Unit), own = ""))
                val port = closed.port
                closed.shutdownNow().awaitTermination()
                PeerLinks().use { links ->
                    val gossip = gossip(News(mutableListOf(NEWS)), links)
                    gossip.listed(listing(port))
                    eventually(patience) {
                        gossip.spread()
                        gossip.members.callable(clock.now()).shouldBeEmpty()
                    }
                    val peer = Listener(CompletableDeferred(Unit), own = "")
                    val server = serve(peer, port)
                    try {
                        gossip.spread()
                        withTimeoutOrNull(patience) { peer.told.await() } shouldBe listOf(NEWS)
                    } finally {
                        server.shutdownNow()
                    }
                }
            }

            it("are exchanged to the end with a peer that takes longer than a request waits for it") {
                val open = CompletableDeferred<Unit>()
                val server = serve(Listener(open, own = "def@e2"))
                val content = News(mutableListOf(NEWS))
                try {
                    PeerLinks(timeout = 30.seconds).use { links ->
                        val gossip = gossip(content, links)
                        gossip.listed(listing(server.port))
                        gossip.spread()
                        open.complete(Unit)
                        withTimeoutOrNull(patience) { content.learned.await() } shouldBe listOf("def@e2")
                    }
                } finally {
                    server.shutdownNow()
                }
            }
        }
    })
