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

/** What travels in heartbeats beside the summaries, and who is told of what came. */
internal interface GossipContent {
    /** This instance's summary, with the next version; loads and demands only for a peer of the same data centre. */
    fun summary(local: Boolean): InstanceSummary

    /** Crashes that peers should know of. */
    fun crashes(): List<String>

    /** A newer summary of another instance came. */
    fun heard(summary: InstanceSummary)

    /** A peer tells of crashes. */
    fun heardCrashes(crashes: List<String>)
}

/**
 * Exchanges summaries with one of a few neighbours at each heartbeat, mostly inside the data centre.
 *
 * What one heartbeat carries is bounded in bytes, so the cost does not grow with the number of instances. With more
 * instances each summary is refreshed less often; versions, which are small, travel ahead as signs of life.
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
    private val pace = HeartbeatIntervals(interval)
    private val partners = HeartbeatPeers()

    /** What heartbeats came to. */
    val traffic = HeartbeatTraffic()

    /** Other instances as known now. */
    val members: Membership get() = membership.get()

    /** Newest summaries of the instances that are alive. */
    fun summaries(): List<InstanceSummary> {
        val alive = members.alive(clock.now()).mapNotNull { it.summary?.id }
        return alive.mapNotNull(newest::get)
    }

    /** Takes in the platform's list. */
    fun listed(listing: InstanceListing) {
        membership.updateAndGet { it.listed(listing.instances, clock.now()) }
        newest.keys.retainAll(members.members.keys)
    }

    /** Exchanges heartbeats until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val near = members.members.values.count { it.dataCentre == local }
            delay(pace.interval(near) * random.nextDouble(from = LEAST_PART, until = GREATEST_PART))
            val peer = pick()
            if (peer != null) exchange(peer.first, peer.second) else greet()
        }
    }

    /**
     * Exchanges heartbeats with many peers at once, for news that can't wait. Peers that did not answer lately are
     * called, too: the first call after a start may be slow. Returns after [SPREAD_TIMEOUT] at the latest; exchanges
     * that take longer go on.
     */
    suspend fun spread() {
        val known = members.members.entries.filter { it.value.peerAddress.isNotEmpty() }
        val peers = known.shuffled(random).take(MAX_SPREAD)
        val exchanges = peers.map { (id, member) -> scope.launch { exchange(id, member) } }
        withTimeoutOrNull(SPREAD_TIMEOUT) { exchanges.joinAll() }
    }

    /** Calls a seed, since nobody else is known or reachable. */
    private suspend fun greet() {
        val address = seeds.randomOrNull(random) ?: return
        val request = HeartbeatRequest.newBuilder().setSelf(content.summary(local = true)).build()
        (send(address, request) as? PeerReply.Answered)?.let(::learn)
    }

    private fun learn(reply: PeerReply.Answered<HeartbeatReply>) {
        reply.value.knownList.forEach(::take)
        reply.value.sightingsList.forEach(::take)
        content.heardCrashes(reply.value.crashFingerprintsList)
    }

    private fun pick(): Pair<InstanceId, Member>? {
        val known = members
        val id = partners.next(known, local, clock.now(), random) ?: return null
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
                learn(reply)
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

    /** Answers a peer's heartbeat with what this instance knows. */
    fun answer(request: HeartbeatRequest): HeartbeatReply = reply(request).also { traffic.answered(request, it) }

    private fun reply(request: HeartbeatRequest): HeartbeatReply {
        take(request.self)
        request.othersList.forEach(::take)
        request.sightingsList.forEach(::take)
        content.heardCrashes(request.crashFingerprintsList)
        val near = request.self.dataCentre == local.name
        val others = if (near) others(except = InstanceId(request.self.instance)) else Others()
        return HeartbeatReply.newBuilder()
            .addKnown(content.summary(near))
            .addAllKnown(others.summaries)
            .addAllSightings(others.sightings)
            .addAllCrashFingerprints(content.crashes())
            .build()
    }

    private fun take(summary: InstanceSummary) {
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
        content.heard(summary)
    }

    private fun take(sighting: Sighting) {
        membership.updateAndGet { it.versionReported(InstanceId(sighting.instance), sighting.version, clock.now()) }
    }

    /** What a message says of instances other than its sender. */
    private class Others(
        val summaries: List<InstanceSummary> = emptyList(),
        val sightings: List<Sighting> = emptyList(),
    )

    /** Versions that are known to exist, and as many whole summaries as fit, chosen at random. */
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
        const val LEAST_PART = 0.75
        const val GREATEST_PART = 1.25

        /** Versions of other instances in one message. */
        const val MAX_SIGHTINGS = 30

        /** Peers that are told at once. */
        const val MAX_SPREAD = 64

        /** Longest time that a request whose target crashed waits until peers know; a small part of its deadline. */
        val SPREAD_TIMEOUT = 500.milliseconds

        /** Bytes about other instances in one message. */
        const val MAX_GOSSIP_BYTES = 800
    }
}
