package dev.vanillarun.daemon.peer

import dev.vanillarun.core.config.ConfigReducer
import dev.vanillarun.core.config.ConfigState
import dev.vanillarun.core.config.toSnapshot
import dev.vanillarun.core.log.ConfigSnapshot
import dev.vanillarun.core.log.DecodedRecord
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.daemon.agreement.LogFollower
import dev.vanillarun.daemon.agreement.LogFollowerState
import dev.vanillarun.protocol.peers.v1.FetchStateReply
import dev.vanillarun.protocol.peers.v1.FetchStateRequest
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlin.time.Duration.Companion.milliseconds

/** Sends the active configuration to instances that start while the log is unavailable, and fetches it from peers. */
internal class PeerState(
    private val follower: LogFollower<ConfigState>,
    private val writer: RecordWriter,
    private val links: PeerLinks,
) {
    /** Replies to a peer; the offset is -1 if this instance has no snapshot that is recent enough. */
    fun answer(request: FetchStateRequest): FetchStateReply {
        val followed = follower.state.value
        val snapshot = followed.view.toSnapshot().takeIf { followed.ready }
        val reply = FetchStateReply.newBuilder().setOffset(-1)
        if (snapshot == null || followed.view.next.value < request.atLeastOffset) return reply.build()
        val record = RecordCodec.encode(writer.envelope(snapshot))
        return reply.setOffset(followed.view.next.value).setSnapshotRecord(record).build()
    }

    /**
     * Fetches the state from the peers of [candidates], one after another in random order, while this instance is not
     * ready, or has no base to validate publications against.
     */
    suspend fun fetchWhileNeeded(candidates: () -> List<String>): Nothing {
        while (true) {
            follower.state.first { it.needsState() }
            delay(LOG_TIMEOUT)
            while (follower.state.value.needsState()) {
                candidates().shuffled().firstNotNullOfOrNull { fetch(it) }?.let(follower::adopt)
                delay(RETRY_INTERVAL)
            }
        }
    }

    private fun LogFollowerState<ConfigState>.needsState(): Boolean = !ready || !state.hasBase

    private suspend fun fetch(address: String): LogView<ConfigState>? {
        val request = FetchStateRequest.newBuilder().setAtLeastOffset(0).build()
        val reply = (links.call(address) { fetchState(request) } as? PeerReply.Answered)?.value ?: return null
        if (reply.offset < 0) return null
        val record = RecordCodec.decode(reply.snapshotRecord) as? DecodedRecord.Known
        val snapshot = record?.envelope?.body as? ConfigSnapshot ?: return null
        val currentPublication = follower.state.value.state.inForce?.publication ?: Offset.None
        if (snapshot.publication < currentPublication) return null
        return ConfigReducer.viewFromPeer(snapshot, Offset(reply.offset))
    }

    private companion object {
        /** Time for the log to respond before peers are called. */
        val LOG_TIMEOUT = 500.milliseconds
        val RETRY_INTERVAL = 500.milliseconds
    }
}
