package dev.vanillarun.core.catalog

import dev.vanillarun.core.zone.Region

/** Describes each route and customer whose allowed regions name one that is not [known], with what mends it. */
public fun Catalog.regionProblems(known: Set<Region>): List<String> {
    val owners = routes.map { "route ${it.name}" to it.regions } +
        customers.values.map { "customer ${it.id.value}" to it.regions }
    return owners.flatMap { (owner, regions) ->
        (regions - known).map { "$owner allows region $it, in which no data centre lies; name one of $known" }
    }
}
