package dev.vanillarun.daemon.peer

import dev.vanillarun.protocol.peers.v1.PeersGrpcKt.PeersCoroutineStub
import io.grpc.ManagedChannel
import io.grpc.StatusException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Result of a call to a peer. */
public sealed interface PeerReply<out T> {
    /** The peer replied. */
    public data class Answered<T>(
        /** The reply message. */
        public val value: T,
    ) : PeerReply<T>

    /** The call failed or timed out. */
    public data class Failed(
        /** Text of the gRPC status. */
        public val reason: String,
    ) : PeerReply<Nothing>
}

/**
 * Pool of connections to peers by address. Beside those in use it keeps at most [maxIdle] and evicts the least recently
 * used. A connection is closed by its channel after an idle timeout; one whose call failed is discarded.
 */
public class PeerLinks(private val timeout: Duration = 2.seconds, private val maxIdle: Int = 16) : AutoCloseable {
    private class Link(val channel: ManagedChannel) {
        var callCount = 0
    }

    /** In order of last use, the least recent first. */
    private val links = LinkedHashMap<String, Link>()

    /** Number of connections in the pool, including those in use. */
    public val size: Int get() = synchronized(links) { links.size }

    /** Makes [call] to the peer at [address], `host:port`, with the deadline [within]. */
    public suspend fun <T> call(
        address: String,
        within: Duration = timeout,
        call: suspend PeersCoroutineStub.() -> T,
    ): PeerReply<T> {
        val link = acquire(address)
        val stub = PeersCoroutineStub(link.channel)
            .withDeadlineAfter(within.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return try {
            PeerReply.Answered(stub.call())
        } catch (e: StatusException) {
            discard(address, link)
            PeerReply.Failed(e.status.toString())
        } finally {
            release(link)
        }
    }

    private fun acquire(address: String): Link = synchronized(links) {
        val link = links.remove(address) ?: Link(open(address))
        links[address] = link
        link.callCount++
        link
    }

    private fun release(link: Link) {
        val surplus = synchronized(links) {
            link.callCount--
            val unused = links.filterValues { it.callCount == 0 }
            unused.entries.take(maxOf(0, unused.size - maxIdle)).map { (address, _) -> links.remove(address) }
        }
        surplus.forEach { it?.channel?.shutdown() }
    }

    private fun discard(address: String, link: Link) {
        synchronized(links) { links.remove(address, link) }
        link.channel.shutdown()
    }

    private fun open(address: String): ManagedChannel =
        NettyChannelBuilder.forTarget(address).usePlaintext().idleTimeout(IDLE_SECONDS, TimeUnit.SECONDS).build()

    override fun close() {
        synchronized(links) { links.values.toList() }.forEach { it.channel.shutdownNow() }
    }

    private companion object {
        const val IDLE_SECONDS = 30L
    }
}
