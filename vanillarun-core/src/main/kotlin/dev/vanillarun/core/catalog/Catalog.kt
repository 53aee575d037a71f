package dev.vanillarun.core.catalog

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.zone.Region

/**
 * One version of the operator's configuration on a hosting platform: routes, services and customers.
 *
 * Unlike a [dev.vanillarun.core.config.RolloutConfig] it lists no targets; these announce themselves, see [Replica].
 */
public data class Catalog(
    /** Version number, greater in each later catalog. */
    public val version: Long,
    /** Routes in no particular order; [route] finds the one of a request. */
    public val routes: List<CatalogRoute> = emptyList(),
    /** Services that routes refer to, by name. */
    public val services: Map<String, CatalogService> = emptyMap(),
    /** Customer of each API key, by the secret in plain text. */
    public val keys: Map<String, CatalogCustomer> = emptyMap(),
    /** True if requests to routes that are not open need a known key; false if the operator has no customers. */
    public val keyed: Boolean = false,
    /** All customers by id, those without a key included. */
    public val customers: Map<CustomerId, CatalogCustomer> = keys.values.associateBy { it.id },
) {
    private val byHost: Map<String, List<CatalogRoute>> =
        routes.groupBy { it.host.lowercase() }
            .mapValues { (_, sameHost) -> sameHost.sortedByDescending { it.pathPrefix.length } }

    /** True if the requests of any route or customer are limited to some regions. */
    public val limitsRegions: Boolean =
        routes.any { it.regions.isNotEmpty() } || customers.values.any { it.regions.isNotEmpty() }

    /** Route of [host], in any letter case, with the longest matching prefix of [path]; null if none matches. */
    public fun route(host: String, path: String): CatalogRoute? =
        byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/** Customer that an API key belongs to. */
public data class CatalogCustomer(
    /** Id of the customer. */
    public val id: CustomerId,
    /** Priority rank of all its requests, 0 is served first; null if [CatalogRoute.priority] applies. */
    public val priority: Int? = null,
    /** Regions in which its requests may be processed; empty if any may. */
    public val regions: Set<Region> = emptySet(),
)

/** Result of [authorize]. */
public sealed interface KeyDecision {
    /** The request may run. */
    public data class Allowed(
        /** Customer that the request runs for; null if it needs no key and has no known one. */
        public val customer: CatalogCustomer?,
    ) : KeyDecision

    /** The route needs a key, and the request has none that belongs to a customer. */
    public data object Unknown : KeyDecision
}

/** Decides whether a request with [key] may use [route]; null stands for no key and for no matching route. */
public fun Catalog.authorize(route: CatalogRoute?, key: String?): KeyDecision {
    val customer = key?.let(keys::get)
    return when {
        customer != null -> KeyDecision.Allowed(customer)
        route?.open == true || !keyed -> KeyDecision.Allowed(null)
        else -> KeyDecision.Unknown
    }
}
