package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.reclaim.CapacityGroup
import dev.vanillarun.core.reclaim.ReclaimBound
import dev.vanillarun.core.time.Instant

/** A target with room for at least one more request of this instance. */
public data class AvailableTarget(
    /** Identity of the target. */
    public val id: TargetId,
    /** Number of further requests that the target has room for, above zero. */
    public val freeSlots: Int,
)

/**
 * Room that a route's targets have for requests of one instance. Immutable.
 *
 * ```kotlin
 * val room = RouteRoom.of(views, now, share)
 * room.reserve(1).total // one less, on the fastest target
 * ```
 */
public data class RouteRoom(
    /** Targets with room, the fastest first. */
    public val targets: List<AvailableTarget>,
) {
    /** Total number of requests that the targets have room for. */
    public val total: Int get() = targets.sumOf { it.freeSlots }

    /** Identities of [targets]. */
    public val open: Set<TargetId> get() = targets.mapTo(HashSet()) { it.id }

    /** Returns the room after [count] further requests, which are assumed to go to the fastest targets. */
    public fun reserve(count: Int): RouteRoom {
        var left = count.coerceAtLeast(0)
        val rest = targets.map { target ->
            val used = minOf(left, target.freeSlots)
            left -= used
            target.copy(freeSlots = target.freeSlots - used)
        }
        return RouteRoom(rest.filter { it.freeSlots > 0 })
    }

    /** Computes the room from the observed state of the targets. */
    public companion object {
        /** Returns the room of the targets [views] at [now] for an instance with [share] of them, within [bound]. */
        public fun of(
            views: List<TargetView>,
            now: Instant,
            share: RouteShare,
            bound: ReclaimBound = TwoRoundReclaimBound,
        ): RouteRoom {
            val staying = views.routable()
            val freeSlots = staying.associate { it.id to it.room(now, share.contenders, share.fraction) }
            val bounded = ReclaimableLimiter(staying, freeSlots, share, bound).bounded()
            val open = staying.map { AvailableTarget(it.id, bounded.getValue(it.id)) }.filter { it.freeSlots > 0 }
            val speed = staying.associate { it.id to it.stats.secondsPerToken }
            return RouteRoom(open.sortedBy { speed.getValue(it.id) })
        }
    }
}

/**
 * Bound under which the remaining targets absorb the requests of a lost data centre's reclaimable targets after at most
 * one round of their own requests. With less headroom, reclaimable targets would add nothing to the
 * capacity of the others.
 */
public val TwoRoundReclaimBound: ReclaimBound = ReclaimBound(headroom = 2.0)

/** Limits the free slots on reclaimable targets to what the other targets can absorb when fully used. */
private class ReclaimableLimiter(
    private val views: List<TargetView>,
    private val freeSlots: Map<TargetId, Int>,
    private val share: RouteShare,
    private val bound: ReclaimBound,
) {
    private val groups = views.groupBy { it.dataCentre to it.reclaimable }.map { (key, members) ->
        val (dataCentre, reclaimable) = key
        val capacity = members.sumOf { it.concurrency }
        CapacityGroup(dataCentre, reclaimable, capacity, inProgress = capacity)
    }

    fun bounded(): Map<TargetId, Int> =
        views.filter { it.reclaimable }.groupBy { it.dataCentre }.values.fold(freeSlots) { left, lost ->
            left +
                limited(lost)
        }

    private fun limited(lost: List<TargetView>): Map<TargetId, Int> {
        val onlyReclaimable = lost.size == views.size
        if (onlyReclaimable) return emptyMap()
        val maxRequests = (bound.maxRequests(groups, lost.first().dataCentre) * share.fraction).toInt()
        var left = maxOf(maxRequests, 1) - lost.sumOf { it.stats.inFlight }
        return lost.sortedBy { it.stats.secondsPerToken }.associate { view ->
            val granted = freeSlots.getValue(view.id).coerceAtMost(left.coerceAtLeast(0))
            left -= granted
            view.id to granted
        }
    }
}

/** Targets that may get requests: all but the leaving and the ejected ones; if that is none, the ejected ones too. */
public fun List<TargetView>.routable(): List<TargetView> {
    val staying = filter { !it.leaving }
    return staying.filter { !it.ejected }.ifEmpty { staying.map { it.copy(ejected = false) } }
}
