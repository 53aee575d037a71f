package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.reclaim.CapacityGroup
import dev.vanillarun.core.reclaim.ReclaimBound
import dev.vanillarun.core.time.Instant

/** A target with room. */
public data class OpenTarget(
    /** Identity. */
    public val id: TargetId,
    /** Requests that it has room for. */
    public val places: Int,
)

/**
 * Room of a route's targets for requests of one instance, the fastest target first. Immutable.
 *
 * ```kotlin
 * val room = RouteRoom.of(views, now, share)
 * room.taken(1).total // one less, at the fastest target
 * ```
 */
public data class RouteRoom(
    /** Targets with room. */
    public val targets: List<OpenTarget>,
) {
    /** Requests that all targets together have room for. */
    public val total: Int get() = targets.sumOf { it.places }

    /** Identities of the targets with room. */
    public val open: Set<TargetId> get() = targets.mapTo(HashSet()) { it.id }

    /** The room after [count] requests more, which are taken to go to the fastest targets. */
    public fun reserve(count: Int): RouteRoom {
        var left = count.coerceAtLeast(0)
        val rest = targets.map { target ->
            val used = minOf(left, target.places)
            left -= used
            target.copy(places = target.places - used)
        }
        return RouteRoom(rest.filter { it.places > 0 })
    }

    /** Room from what is known of the targets. */
    public companion object {
        /** Room of the targets [views] at [now] for an instance that has [share] of them, within [bound]. */
        public fun of(
            views: List<TargetView>,
            now: Instant,
            share: RouteShare,
            bound: ReclaimBound = AbsorbedInTwoRounds,
        ): RouteRoom {
            val staying = views.routable()
            val places = staying.associate { it.id to it.room(now, share.contenders, share.fraction) }
            val bounded = Reclaimable(staying, places, share, bound).bounded()
            val open = staying.map { OpenTarget(it.id, bounded.getValue(it.id)) }.filter { it.places > 0 }
            val speed = staying.associate { it.id to it.stats.secondsPerToken }
            return RouteRoom(open.sortedBy { speed.getValue(it.id) })
        }
    }
}

/**
 * What a lost data centre's reclaimable targets ran is run by the rest after at most one round of what runs there. With
 * less headroom reclaimable targets would add nothing to what the rest can do by itself.
 */
public val AbsorbedInTwoRounds: ReclaimBound = ReclaimBound(headroom = 2.0)

/** Cuts the places at reclaimable targets down to what the rest can absorb while all of its own places are taken. */
private class Reclaimable(
    private val views: List<TargetView>,
    private val places: Map<TargetId, Int>,
    private val share: RouteShare,
    private val bound: ReclaimBound,
) {
    private val groups = views.groupBy { it.dataCentre to it.reclaimable }.map { (key, members) ->
        val (dataCentre, reclaimable) = key
        val capacity = members.sumOf { it.concurrency }
        CapacityGroup(dataCentre, reclaimable, capacity, inProgress = capacity)
    }

    fun bounded(): Map<TargetId, Int> =
        views.filter { it.reclaimable }.groupBy { it.dataCentre }.values.fold(places) { left, lost -> left + cut(lost) }

    private fun cut(lost: List<TargetView>): Map<TargetId, Int> {
        val nothingElse = lost.size == views.size
        if (nothingElse) return emptyMap()
        val allowed = (bound.allowed(groups, lost.first().dataCentre) * share.fraction).toInt()
        var left = maxOf(allowed, 1) - lost.sumOf { it.stats.inFlight }
        return lost.sortedBy { it.stats.secondsPerToken }.associate { view ->
            val granted = places.getValue(view.id).coerceAtMost(left.coerceAtLeast(0))
            left -= granted
            view.id to granted
        }
    }
}

/** The targets that may get work: those that are healthy, or all that stay if none is. */
public fun List<TargetView>.routable(): List<TargetView> {
    val staying = filter { !it.leaving }
    return staying.filter { !it.ejected }.ifEmpty { staying.map { it.copy(ejected = false) } }
}
