package dev.vanillarun.core.reclaim

import dev.vanillarun.core.zone.DataCentre

/** Capacity and load of a route's targets of one kind in one data centre, in concurrent requests. */
public data class CapacityGroup(
    /** Data centre that the targets run in. */
    public val dataCentre: DataCentre,
    /** True for targets that the platform may reclaim at any time. */
    public val reclaimable: Boolean,
    /** Number of concurrent requests that the targets can run. */
    public val capacity: Int,
    /** Number of requests in flight on the targets. */
    public val inProgress: Int,
)

/**
 * Limit on the number of requests on reclaimable targets.
 *
 * The platform reclaims all reclaimable targets of a data centre at once. Their requests then move to the remaining
 * targets, so no more may run on them than the remaining ones can absorb, up to [headroom] times their capacity.
 */
public data class ReclaimBound(
    /** Multiple of the remaining capacity to use after a loss; above one, requests may queue on the targets. */
    public val headroom: Double = 1.0,
) {
    /** Maximum number of requests on the reclaimable targets of [dataCentre], including those already in flight. */
    public fun maxRequests(groups: List<CapacityGroup>, dataCentre: DataCentre): Int {
        val (lost, rest) = groups.partition { it.reclaimable && it.dataCentre == dataCentre }
        val room = rest.sumOf { it.capacity } * headroom - rest.sumOf { it.inProgress }
        return room.toInt().coerceIn(0, lost.sumOf { it.capacity })
    }

    /** True if [groups], which include the request to place, exceed [maxRequests] in no data centre. */
    public fun isSatisfiedBy(groups: List<CapacityGroup>): Boolean =
        groups.filter { it.reclaimable }.groupBy { it.dataCentre }.all { (dataCentre, lost) ->
            lost.sumOf { it.inProgress } <= maxRequests(groups, dataCentre)
        }
}
