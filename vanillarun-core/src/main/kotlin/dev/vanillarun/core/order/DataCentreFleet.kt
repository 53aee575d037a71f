package dev.vanillarun.core.order

import dev.vanillarun.core.zone.DataCentre

/** Targets of one service in one data centre, as input for ordering targets of one kind, reclaimable or on-demand. */
public data class DataCentreFleet(
    /** Data centre that the targets run in. */
    public val dataCentre: DataCentre,
    /** Number of targets of the kind that is not ordered. */
    public val otherTargets: Int,
    /** Current number of targets of the ordered kind. */
    public val present: Int,
    /** Number of targets of the ordered kind that are never moved to another data centre. */
    public val pinnedTargets: Int = 0,
    /** Maximum number of targets of both kinds together. */
    public val ceiling: Int,
    /** Price of one target of the ordered kind; only compared with the other data centres' prices. */
    public val price: Double,
    /** True if the platform currently cannot supply further targets of the ordered kind here. */
    public val soldOut: Boolean = false,
)

/**
 * Returns the number of targets of the ordered kind for each data centre, so that the service has [wanted] in total.
 *
 * Each target is assigned to the data centre where the service has the fewest targets, and on a tie to the cheapest
 * one, so that the loss of a data centre, or of all its reclaimable targets, costs the smallest part of the fleet. A
 * sold-out data centre keeps its current number. The total falls short of [wanted] once all ceilings are reached.
 */
public fun spreadTargets(wanted: Int, fleets: List<DataCentreFleet>): Map<DataCentre, Int> {
    val open = fleets.filter { !it.soldOut }
    val assigned = fleets.associateTo(LinkedHashMap()) {
        it.dataCentre to
            if (it.soldOut) it.present else it.pinnedTargets
    }
    var missing = wanted - fleets.sumOf { it.otherTargets } - assigned.values.sum()
    while (missing > 0) {
        val next = open.filter { it.otherTargets + assigned.getValue(it.dataCentre) < it.ceiling }
            .minWithOrNull(
                compareBy({
                    it.otherTargets + assigned.getValue(it.dataCentre)
                }, { it.price }, { it.dataCentre.name }),
            )
            ?: break
        assigned.merge(next.dataCentre, 1, Int::plus)
        missing--
    }
    return assigned
}
