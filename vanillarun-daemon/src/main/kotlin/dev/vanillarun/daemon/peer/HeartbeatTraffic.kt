package dev.vanillarun.daemon.peer

import dev.vanillarun.protocol.peers.v1.HeartbeatReply
import dev.vanillarun.protocol.peers.v1.HeartbeatRequest
import java.util.concurrent.atomic.LongAdder

/** Counts the heartbeats of this instance and the bytes of their messages, without the overhead of the transport. */
internal class HeartbeatTraffic {
    private val answeredCount = LongAdder()
    private val failedCount = LongAdder()
    private val receivedCount = LongAdder()
    private val sentByteCount = LongAdder()
    private val receivedByteCount = LongAdder()

    /** Number of heartbeats sent and answered by a peer. */
    val answered: Long get() = answeredCount.sum()

    /** Number of heartbeats sent whose call failed. */
    val failed: Long get() = failedCount.sum()

    /** Number of heartbeats received from peers and answered. */
    val received: Long get() = receivedCount.sum()

    /** Total bytes of the requests and replies that were sent. */
    val bytesSent: Long get() = sentByteCount.sum()

    /** Total bytes of the requests and replies that were received. */
    val bytesReceived: Long get() = receivedByteCount.sum()

    /** Counts a [request] that was sent, and its reply or failure. */
    fun exchanged(request: HeartbeatRequest, outcome: PeerReply<HeartbeatReply>) {
        sentByteCount.add(request.serializedSize.toLong())
        when (outcome) {
            is PeerReply.Answered -> {
                answeredCount.increment()
                receivedByteCount.add(outcome.value.serializedSize.toLong())
            }

            is PeerReply.Failed -> failedCount.increment()
        }
    }

    /** Counts a peer's [request] and the [reply] to it. */
    fun answered(request: HeartbeatRequest, reply: HeartbeatReply) {
        receivedCount.increment()
        receivedByteCount.add(request.serializedSize.toLong())
        sentByteCount.add(reply.serializedSize.toLong())
    }
}
