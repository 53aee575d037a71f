package dev.vanillarun.core.routing

import dev.vanillarun.core.limit.InstanceDemand
import dev.vanillarun.core.limit.LimitShare

/** Share of a route's targets that an instance may always use, whatever the demand of the other instances. */
public data class RouteShare(
    /** Number of instances with requests for the route, including this one. */
    public val contenders: Int,
    /** Fraction of each target's slots, above zero and at most one. */
    public val fraction: Double,
) {
    /** Computes shares from the instances' demand. */
    public companion object {
        /** Share of an instance without contenders: all slots of every target. */
        public val Whole: RouteShare = RouteShare(contenders = 1, fraction = 1.0)

        /** Returns the share of [self] among the [peers] with demand; [self] counts with at least one request. */
        public fun of(self: InstanceDemand, peers: Collection<InstanceDemand>): RouteShare {
            val others = peers.filter { it.instance != self.instance && it.requests > 0 }
            val present = self.copy(requests = self.requests.coerceAtLeast(1))
            return RouteShare(others.size + 1, LimitShare.of(present, others).fraction)
        }
    }
}
