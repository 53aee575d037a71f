package dev.vanillarun.daemon.config

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.CustomerKey
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.log.Offset

/** A customer's key with the customer that owns it. */
public data class KeyOwner(
    /** Owner of the key. */
    public val customer: Customer,
    /** The key as configured: its hash and whether it is withdrawn. */
    public val key: CustomerKey,
)

/** The active configuration with immutable indexes for the lookups of the data path. */
public class ActiveConfig(
    /** Log offset of the publication, which orders configurations. */
    public val offset: Offset,
    /** The configuration as published. */
    public val config: RolloutConfig,
) {
    private val keys = config.customers
        .flatMap { customer -> customer.keys.map { it.sha256 to KeyOwner(customer, it) } }
        .toMap()
    private val models = config.routes
        .filter { it.kind == RouteKind.MODEL }
        .associateBy { it.model }
    private val services = config.routes
        .filter { it.kind == RouteKind.SERVICE }
        .sortedByDescending { it.path.length }
    private val targets = config.routes.associate { route ->
        route.name to config.targets.filter { route.name in it.routes }
    }

    /** The key with this hash and its owner; null if it is unknown or withdrawn. */
    public fun keyOwner(sha256: String): KeyOwner? = keys[sha256]?.takeUnless { it.key.withdrawn }

    /** All model routes, one for each model name. */
    public fun modelRoutes(): Collection<Route> = models.values

    /** The model route of [model]; null if no route serves it. */
    public fun modelRoute(model: String): Route? = models[model]

    /** The service route with the longest prefix of [path], compared by whole segments; null if none matches. */
    public fun serviceRoute(path: String): Route? = services.firstOrNull { it.covers(path) }

    /** Targets that serve [route]; empty if there are none. */
    public fun targets(route: Route): List<Target> = targets[route.name].orEmpty()

    private fun Route.covers(requestPath: String): Boolean {
        val prefix = path.trimEnd('/')
        return requestPath == prefix || requestPath.startsWith("$prefix/")
    }
}
