package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Returns how much longer [request] takes on the fastest target of [open], the targets with room, than on the fastest
 * of all usable targets. Zero while the speeds are unknown.
 */
public fun List<TargetView>.slowdown(open: Set<TargetId>, request: RequestProfile): Duration {
    val known = filter { it.stats.secondsPerToken > 0.0 && !it.leaving && !it.ejected }
    val fastest = known.minOfOrNull { it.stats.secondsPerToken } ?: return Duration.ZERO
    val fastestOpen = known.filter { it.id in open }.minOfOrNull { it.stats.secondsPerToken } ?: return Duration.ZERO
    return (request.work * (fastestOpen - fastest)).seconds
}
