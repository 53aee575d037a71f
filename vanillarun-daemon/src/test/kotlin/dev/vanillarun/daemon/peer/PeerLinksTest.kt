package dev.vanillarun.daemon.peer

import dev.vanillarun.protocol.peers.v1.HeartbeatReply
import dev.vanillarun.protocol.peers.v1.HeartbeatRequest
import dev.vanillarun.protocol.peers.v1.PeersGrpcKt.PeersCoroutineImplBase
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/** Peer that replies to a heartbeat once [open] is complete; [called] completes when it receives one. */
private class Peer(private val open: CompletableDeferred<Unit>) : PeersCoroutineImplBase() {
    val called = CompletableDeferred<Unit>()

    override suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply {
        called.complete(Unit)
        open.await()
        return HeartbeatReply.getDefaultInstance()
    }
}

private fun serve(peer: Peer): Server =
    NettyServerBuilder.forAddress(InetSocketAddress("127.0.0.1", 0)).addService(peer).build().start()

private suspend fun withPeers(open: CompletableDeferred<Unit>, test: suspend (List<String>, List<Peer>) -> Unit) {
    val peers = List(6) { Peer(open) }
    val servers = peers.map(::serve)
    try {
        test(servers.map { "127.0.0.1:${it.port}" }, peers)
    } finally {
        servers.forEach { it.shutdownNow() }
    }
}

class PeerLinksTest :
    DescribeSpec({
        describe("connections to peers") {
            it("are kept for the most recently called peers only") {
                PeerLinks(maxIdle = 2).use { links ->
                    withPeers(CompletableDeferred(Unit)) { addresses, _ ->
                        (addresses + addresses).forEach { address ->
                            links.call(address, within = 30.seconds) {
                                heartbeat(HeartbeatRequest.getDefaultInstance())
                            }
                                .shouldBeInstanceOf<PeerReply.Answered<HeartbeatReply>>()
                            links.size shouldBeLessThanOrEqual 2
                        }
                    }
                }
            }
            it("are not closed during a call, also above the limit") {
                PeerLinks(maxIdle = 2).use { links ->
                    val open = CompletableDeferred<Unit>()
                    withPeers(open) { addresses, peers ->
                        val replies = coroutineScope {
                            val calls = addresses.map { address ->
                                async {
                                    links.call(address, within = 30.seconds) {
                                        heartbeat(HeartbeatRequest.getDefaultInstance())
                                    }
                                }
                            }
                            peers.forEach { it.called.await() }
                            links.size shouldBeGreaterThan 2
                            open.complete(Unit)
                            calls.awaitAll()
                        }
                        replies.count { it is PeerReply.Answered } shouldBe addresses.size
                        links.size shouldBeLessThanOrEqual 2
                    }
                }
            }
        }
    })
