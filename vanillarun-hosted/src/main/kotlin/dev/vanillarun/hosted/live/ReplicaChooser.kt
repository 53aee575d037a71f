package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.target.TargetTracker
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses targets of plain services: the one where an answer is expected first.
 *
 * A target to which a connection is open goes before others that are a little faster: targets charge for each new
 * connection, and calls of one instance to one target are rare.
 */
internal class ReplicaChooser(
    private val replicas: ReplicaSource,
    private val tracker: TargetTracker,
    private val isWarm: (Replica) -> Boolean,
    private val local: DataCentre,
    private val clock: MonotonicClock,
    private val random: Random = Random.Default,
) {
    /** A target for a request on [route] that is not among [triedTargets], or null. */
    fun choose(route: CatalogRoute, triedTargets: Set<TargetId>): Replica? {
        val service = service(route) ?: return null
        val candidates = replicas.of(service).filter { it.id !in triedTargets }
        val usable = candidates.filter(tracker::usable)
        return usable.ifEmpty { candidates }.minByOrNull { expectedLatency(it) * (1 + JITTER * random.nextDouble()) }
    }

    /** True if every target of [route] is taken up. */
    fun isFull(route: CatalogRoute): Boolean {
        val candidates = route.services.flatMap { replicas.of(it.service) }
        return candidates.isNotEmpty() && candidates.all { !tracker.usable(it) && tracker.of(it).failures == 0 }
    }

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

    private fun expectedLatency(replica: Replica): Double {
        val observations = tracker.of(replica)
        val reportedLoad = observations.load?.takeIf { observations.loadReportedAt?.let { at -> clock.now() - at < LOAD_LIFETIME } == true }
        val busy = maxOf(observations.running, reportedLoad?.let { it.running + it.waiting } ?: 0)
        val queued = maxOf(0, busy + 1 - replica.slots).toDouble() / replica.slots.coerceAtLeast(1)
        val loadPenalty = busy.toDouble() / replica.slots.coerceAtLeast(1) * LOAD_PENALTY
        val connection = if (isWarm(replica)) 1.0 else NEW_CONNECTION_FACTOR
        val dataCentreFactor = if (replica.dataCentre == local) 1.0 else OTHER_DATA_CENTRE_FACTOR
        return (observations.meanLatency ?: DEFAULT_LATENCY).inWholeMicroseconds * (1 + loadPenalty + queued) * connection * dataCentreFactor
    }

    private companion object {
        /** Spread of scores, so that instances that know the same do not choose alike. */
        const val JITTER = 0.3

        /** Factor by which a target may be slower before a new connection to a faster one is worth it. */
        const val NEW_CONNECTION_FACTOR = 1.8

        /** Factor by which a target in the own data centre may be slower; others may be cut off at any time. */
        const val OTHER_DATA_CENTRE_FACTOR = 1.3

        /** Part by which a target that is nearly full answers more slowly. */
        const val LOAD_PENALTY = 0.5

        /** Age up to which a told load counts; a few service times. */
        val LOAD_LIFETIME: Duration = 500.milliseconds

        /** Time of an answer that is assumed of a target not yet seen. */
        val DEFAULT_LATENCY: Duration = 20.milliseconds
    }
}
