package dev.vanillarun.core.health

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant

/**
 * Limits the ejected targets of a route to a share of all its targets.
 *
 * If the health of every target calls for ejection, the fault probably lies elsewhere: none is ejected, all are tried.
 */
public data class EjectionCap(
    /** Largest fraction of a route's targets that may be ejected at a time, from 0 to 1. */
    public val share: Double = 0.5,
) {
    /** Targets ejected at [now], strongest [TargetHealth.evidence] first; [health] holds all targets of a route. */
    public fun ejected(health: Map<TargetId, TargetHealth>, now: Instant): Set<TargetId> {
        val candidates = health.filterValues { it.isEjected(now) }
        if (candidates.size == health.size) return emptySet()
        return candidates.entries
            .sortedWith(
                compareByDescending<Map.Entry<TargetId, TargetHealth>> {
                    it.value.evidence
                }.thenBy { it.key.value },
            )
            .take((health.size * share).toInt())
            .mapTo(LinkedHashSet()) { it.key }
    }
}
