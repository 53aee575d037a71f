package dev.vanillarun.daemon.peer

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.membership.HeartbeatIntervals
import dev.vanillarun.core.membership.HeartbeatPeers
import dev.vanillarun.core.membership.Member
import dev.vanillarun.core.membership.MemberSummary
import dev.vanillarun.core.membership.Membership
import dev.vanillarun.core.platform.InstanceListing
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.protocol.peers.v1.HeartbeatReply
import dev.vanillarun.protocol.peers.v1.HeartbeatRequest
import dev.vanillarun.protocol.peers.v1.InstanceSummary
import dev.vanillarun.protocol.peers.v1.Sighting
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Supplies the content of heartbeats, and receives the content of the heartbeats of peers. */
internal interface GossipContent {
    /** This instance's summary with a new version; target loads only if [local], for a peer of the same data centre. */
    fun summary(local: Boolean): InstanceSummary

    /** Recent crashes to report to peers, each as `fingerprint@target`. */
    fun crashes(): List<String>

    /** Called for each summary of another instance that is newer than the last one. */
    fun summaryReceived(summary: InstanceSummary)

    /** Called with the crashes of a received heartbeat or reply; they may have been reported before. */
    fun crashesReceived(crashes: List<String>)
}

/**
 * Gossip protocol that exchanges summaries with one of a few neighbours at each heartbeat, mostly inside the data
 * centre.
 *
 * The size of a heartbeat is bounded, so its cost does not grow with the number of instances. With more instances each
 * summary is refreshed less often; versions are smaller, so they spread faster and serve as liveness signals.
 */
internal class Gossip(
    self: InstanceId,
    private val local: DataCentre,
    private val content: GossipContent,
    private val links: PeerLinks,
    private val clock: MonotonicClock,
    private val random: Random,
    interval: Duration,
    private val scope: CoroutineScope,
    private val seeds: List<String> = emptyList(),
    private val events: EventRecorder = NoOpEventRecorder,
) {
    private val membership = AtomicReference(Membership(self))
    private val newest = ConcurrentHashMap<InstanceId, InstanceSummary>()
    private val intervals = HeartbeatIntervals(interval)
    private val heartbeatPeers = HeartbeatPeers()

    /** Counters of heartbeats and their bytes. */
    val traffic = HeartbeatTraffic()

    /** The current view of the other instances. */
    val members: Membership get() = membership.get()

    /** Newest summaries of the other instances that are considered alive. */
    fun summaries(): List<InstanceSummary> {
        val alive = members.alive(clock.now()).mapNotNull { it.summary?.id }
        return alive.mapNotNull(newest::get)
    }

    /** Merges the platform's list of instances into the membership. */
    fun listed(listing: InstanceListing) {
        membership.updateAndGet { it.listed(listing.instances, clock.now()) }
        newest.keys.retainAll(members.members.keys)
    }

    /** Exchanges heartbeats at a jittered interval until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val near = members.members.values.count { it.dataCentre == local }
            delay(intervals.interval(near) * random.nextDouble(from = MIN_JITTER, until = MAX_JITTER))
            val peer = choosePeer()
            if (peer != null) exchange(peer.first, peer.second) else contactSeed()
        }
    }

    /**
     * Exchanges heartbeats with many peers concurrently, for urgent notifications. Peers whose last calls failed are
     * called, too, since the first call after a start may be slow. Returns after [SPREAD_TIMEOUT] at the latest;
     * exchanges that take longer continue in the background.
     */
    suspend fun spread() {
        val known = members.members.entries.filter { it.value.peerAddress.isNotEmpty() }
        val peers = known.shuffled(random).take(MAX_SPREAD)
        val exchanges = peers.map { (id, member) -> scope.launch { exchange(id, member) } }
        withTimeoutOrNull(SPREAD_TIMEOUT) { exchanges.joinAll() }
    }

    /** Exchanges a heartbeat with a random seed address, since no known peer can be called. */
    private suspend fun contactSeed() {
        val address = seeds.randomOrNull(random) ?: return
        val request = HeartbeatRequest.newBuilder().setSelf(content.summary(local = true)).build()
        (send(address, request) as? PeerReply.Answered)?.let(::mergeReply)
    }

    private fun mergeReply(reply: PeerReply.Answered<HeartbeatReply>) {
        reply.value.knownList.forEach(::merge)
        reply.value.sightingsList.forEach(::merge)
        content.crashesReceived(reply.value.crashFingerprintsList)
    }

    private fun choosePeer(): Pair<InstanceId, Member>? {
        val known = members
        val id = heartbeatPeers.next(known, local, clock.now(), random) ?: return null
        return id to known.members.getValue(id)
    }

    private suspend fun exchange(id: InstanceId, member: Member) {
        val near = member.dataCentre == local
        val others = if (near) others(except = id) else Others()
        val request = HeartbeatRequest.newBuilder()
            .setSelf(content.summary(near))
            .addAllOthers(others.summaries)
            .addAllSightings(others.sightings)
            .addAllCrashFingerprints(content.crashes())
            .build()
        when (val reply = send(member.peerAddress, request)) {
            is PeerReply.Answered -> {
                val before = membership.getAndUpdate { it.callSucceeded(id) }.members[id]
                if (before?.retryAt != null) events.record("peer.regained", EventLinks(), mapOf("peer" to id.value))
                mergeReply(reply)
            }

            is PeerReply.Failed -> {
                val before = membership.getAndUpdate { it.callFailed(id, clock.now()) }.members[id]
                if (before?.retryAt == null) {
                    events.record("peer.lost", EventLinks(), mapOf("peer" to id.value, "reason" to reply.reason))
                }
            }
        }
    }

    private suspend fun send(address: String, request: HeartbeatRequest): PeerReply<HeartbeatReply> =
        links.call(address) { heartbeat(request) }.also { traffic.exchanged(request, it) }

    /** Merges a peer's heartbeat and replies with this instance's view. */
    fun answer(request: HeartbeatRequest): HeartbeatReply = reply(request).also { traffic.answered(request, it) }

    private fun reply(request: HeartbeatRequest): HeartbeatReply {
        merge(request.self)
        request.othersList.forEach(::merge)
        request.sightingsList.forEach(::merge)
        content.crashesReceived(request.crashFingerprintsList)
        val near = request.self.dataCentre == local.name
        val others = if (near) others(except = InstanceId(request.self.instance)) else Others()
        return HeartbeatReply.newBuilder()
            .addKnown(content.summary(near))
            .addAllKnown(others.summaries)
            .addAllSightings(others.sightings)
            .addAllCrashFingerprints(content.crashes())
            .build()
    }

    private fun merge(summary: InstanceSummary) {
        if (summary.instance.isEmpty() || summary.dataCentre.isEmpty()) return
        val known = MemberSummary(
            id = InstanceId(summary.instance),
            version = summary.version,
            dataCentre = DataCentre(summary.dataCentre),
            peerAddress = summary.peerAddress,
            draining = summary.draining,
        )
        val before = membership.getAndUpdate { it.heard(known, clock.now()) }
        val old = before.members[known.id]?.summary
        if (known.id == before.self || (old != null && old.version >= known.version)) return
        newest[known.id] = summary
        content.summaryReceived(summary)
    }

    private fun merge(sighting: Sighting) {
        membership.updateAndGet { it.versionReported(InstanceId(sighting.instance), sighting.version, clock.now()) }
    }

    /** The part of a message about instances other than its sender. */
    private class Others(
        val summaries: List<InstanceSummary> = emptyList(),
        val sightings: List<Sighting> = emptyList(),
    )

    /** Newest versions of random live instances of the data centre, and as many of their summaries as fit. */
    private fun others(except: InstanceId): Others {
        val near = members.alive(clock.now())
            .filter { it.summary?.id != except && it.dataCentre == local }
            .shuffled(random)
        val sightings = near.take(MAX_SIGHTINGS).mapNotNull { sighting(it) }
        var bytes = sightings.sumOf { it.serializedSize }
        val summaries = near.mapNotNull { member -> member.summary?.let { newest[it.id] } }.takeWhile { summary ->
            bytes += summary.serializedSize
            bytes <= MAX_GOSSIP_BYTES
        }
        return Others(summaries, sightings)
    }

    private fun sighting(member: Member): Sighting? {
        val id = member.summary?.id ?: return null
        val version = member.newestVersion ?: return null
        return Sighting.newBuilder().setInstance(id.value).setVersion(version).build()
    }

    private companion object {
        const val MIN_JITTER = 0.75
        const val MAX_JITTER = 1.25

        /** Maximum number of versions of other instances in one message. */
        const val MAX_SIGHTINGS = 30

        /** Maximum number of peers that [spread] calls. */
        const val MAX_SPREAD = 64

        /** Maximum delay of a request whose target crashed until peers are notified; a small part of its deadline. */
        val SPREAD_TIMEOUT = 500.milliseconds

        /** Maximum number of bytes about other instances in one message. */
        const val MAX_GOSSIP_BYTES = 800
    }
}
