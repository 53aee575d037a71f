package dev.vanillarun.core.order

import dev.vanillarun.core.zone.DataCentre

/** The targets of one service in one data centre, with a view to ordering more of one kind. */
public data class DataCentreFleet(
    /** Data centre. */
    public val dataCentre: DataCentre,
    /** Targets of the kind that is not ordered. */
    public val otherTargets: Int,
    /** Targets of the ordered kind at present. */
    public val present: Int,
    /** Targets of the ordered kind that stay where they are, whatever the spread. */
    public val pinnedTargets: Int = 0,
    /** Targets of both kinds that are allowed. */
    public val ceiling: Int,
    /** Price of a target. */
    public val price: Double,
    /** True if the platform has none of the ordered kind to give at the moment. */
    public val soldOut: Boolean = false,
)

/**
 * Number of targets of the ordered kind in each data centre, so that the service has [wanted] in all.
 *
 * Each target goes where the service has the fewest, and among those where it is cheapest: the loss of a data centre,
 * or of all its reclaimable targets, then costs the smallest part of the fleet. Where none are to be had, those that
 * are there are kept.
 */
public fun spreadTargets(wanted: Int, fleets: List<DataCentreFleet>): Map<DataCentre, Int> {
    val open = fleets.filter { !it.soldOut }
    val assigned = fleets.associateTo(LinkedHashMap()) { it.dataCentre to if (it.soldOut) it.present else it.pinnedTargets }
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
