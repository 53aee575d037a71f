package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetTracker
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses the target of a plain service with the lowest expected latency.
 *
 * A target with an open connection is preferred to slightly faster ones: a new connection has a cost at the target, and
 * calls of one instance to one target are rare.
 */
internal class ReplicaChooser(
    private val departures: DepartureBoard,
    private val tracker: TargetTracker,
    private val isWarm: (Replica) -> Boolean,
    private val local: DataCentre,
    private val clock: MonotonicClock,
    private val random: Random = Random.Default,
    private val gates: TargetGates = TargetGates(),
) {
    /** Returns a target for [request] not in [triedIds], one in backoff only if all are; null if there is none. */
    fun choose(request: LiveRequest, triedIds: Set<TargetId>): Replica? {
        val service = service(request.route) ?: return null
        val gated = request.gated
        val candidates =
            departures.eligible(service).filter { it.id !in triedIds && gates.refusal(it, gated) == null }
        val usable = candidates.filter(tracker::usable)
        val assumed = assumedLatency(candidates)
        return usable.ifEmpty { candidates }
            .minByOrNull { expectedLatency(it, assumed) * (1 + JITTER * random.nextDouble()) }
    }

    /**
     * Latency of targets that this instance has not observed: that of the best one it has. A lower assumption would
     * draw the rare calls of each of many instances to every target in turn, each over a new connection.
     */
    private fun assumedLatency(candidates: List<Replica>): Duration =
        candidates.mapNotNull { tracker.of(it).meanLatency }.minOrNull() ?: DEFAULT_LATENCY

    /** True if every target that may get [request] backs off for lack of capacity, not after failures. */
    fun isFull(request: LiveRequest): Boolean {
        val candidates = open(request)
        return candidates.isNotEmpty() && candidates.all { !tracker.usable(it) && tracker.of(it).failures == 0 }
    }

    /** Why [choose] finds no target for a new [request]. */
    fun reasonForNone(request: LiveRequest): String {
        val services = request.route.services.map { it.service }
        val refusal = services.flatMap(departures::eligible).firstNotNullOfOrNull { gates.refusal(it, request.gated) }
        return when {
            refusal != null -> refusal.reason
            services.any(departures::hasLeft) -> "all targets are leaving"
            else -> "no target is known"
        }
    }

    /** Targets that no gate withholds from [request]. */
    fun open(request: LiveRequest): List<Replica> = request.route.services
        .flatMap { departures.eligible(it.service) }
        .filter { gates.refusal(it, request.gated) == null }

    private fun service(route: CatalogRoute): String? {
        val shares = route.services.filter { it.weight > 0 }
        val total = shares.sumOf { it.weight }
        if (shares.size <= 1 || total <= 0) return shares.firstOrNull()?.service
        var left = random.nextInt(total)
        return shares.firstOrNull {
            left -= it.weight
            left < 0
        }?.service
    }

    private fun expectedLatency(replica: Replica, assumed: Duration): Double {
        val stats = tracker.of(replica)
        val load = stats.load?.takeIf { stats.loadReportedAt?.let { at -> clock.now() - at < LOAD_LIFETIME } == true }
        val busy = maxOf(stats.running, load?.let { it.running + it.waiting } ?: 0)
        val queued = maxOf(0, busy + 1 - replica.slots).toDouble() / replica.slots.coerceAtLeast(1)
        val penalty = busy.toDouble() / replica.slots.coerceAtLeast(1) * LOAD_PENALTY
        val connection = if (isWarm(replica)) 1.0 else NEW_CONNECTION_FACTOR
        val zone = if (replica.dataCentre == local) 1.0 else OTHER_DATA_CENTRE_FACTOR
        return (stats.meanLatency ?: assumed).inWholeMicroseconds * (1 + penalty + queued) * connection * zone
    }

    private companion object {
        /** Maximum random increase of a score, so that instances with equal information choose different targets. */
        const val JITTER = 0.3

        /** Latency factor of a target without an open connection; a connected one may be this much slower. */
        const val NEW_CONNECTION_FACTOR = 1.8

        /** Latency factor of a target in another data centre, since it may become unreachable at any time. */
        const val OTHER_DATA_CENTRE_FACTOR = 1.3

        /** Relative latency increase of a target with all slots in use. */
        const val LOAD_PENALTY = 0.5

        /** Maximum age of a reported load; a few service times. */
        val LOAD_LIFETIME: Duration = 500.milliseconds

        /** Latency assumed while no target has been observed. */
        val DEFAULT_LATENCY: Duration = 20.milliseconds
    }
}
