package dev.vanillarun.core.zone

/**
 * Returns the regions in which a request may be processed, of which [route] and [customer] allow some each; empty
 * stands for any. Where both limit them, both bind. Returns null if any region may process it, and no region if none
 * may.
 */
public fun allowedRegions(route: Set<Region>, customer: Set<Region>): Set<Region>? = when {
    route.isEmpty() && customer.isEmpty() -> null
    route.isEmpty() -> customer
    customer.isEmpty() -> route
    else -> route intersect customer
}
