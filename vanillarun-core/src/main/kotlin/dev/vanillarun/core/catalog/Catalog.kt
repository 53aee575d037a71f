package dev.vanillarun.core.catalog

import dev.vanillarun.core.id.CustomerId

/**
 * One version of what the operator has put in force on a hosting platform: routes, services and customers.
 *
 * Unlike a [dev.vanillarun.core.config.RolloutConfig] it names no targets; these announce themselves, see [Replica].
 */
public data class Catalog(
    /** Version; rises from one catalog to the next. */
    public val version: Long,
    /** Routes. */
    public val routes: List<CatalogRoute> = emptyList(),
    /** Services by name. */
    public val services: Map<String, CatalogService> = emptyMap(),
    /** Customers by the secret of each key that they hold. */
    public val keys: Map<String, CatalogCustomer> = emptyMap(),
    /** True if requests need a key unless their route is open. */
    public val keyed: Boolean = false,
) {
    private val byHost: Map<String, List<CatalogRoute>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, of) -> of.sortedByDescending { it.pathPrefix.length } }

    /** Route of [host] with the longest prefix of [path], or null. */
    public fun route(host: String, path: String): CatalogRoute? =
        byHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/** Customer that a key belongs to. */
public data class CatalogCustomer(
    /** Identity. */
    public val id: CustomerId,
    /** Rank of all its requests, 0 first; null where the route decides. */
    public val priority: Int? = null,
)

/** Decision on the key of a request. */
public sealed interface KeyDecision {
    /** The request may run for [customer]; null on an open route. */
    public data class Allowed(
        /** Customer that it runs for. */
        public val customer: CatalogCustomer?,
    ) : KeyDecision

    /** No customer holds the key. */
    public data object Unknown : KeyDecision
}

/** Decides whether a request with [key] may use [route]. */
public fun Catalog.authorize(route: CatalogRoute?, key: String?): KeyDecision {
    val customer = key?.let(keys::get)
    return when {
        customer != null -> KeyDecision.Allowed(customer)
        route?.open == true || !keyed -> KeyDecision.Allowed(null)
        else -> KeyDecision.Unknown
    }
}
