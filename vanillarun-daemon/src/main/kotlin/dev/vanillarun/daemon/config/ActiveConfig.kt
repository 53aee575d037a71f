package dev.vanillarun.daemon.config

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.CustomerKey
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.log.Offset

/** A key together with the customer that it belongs to. */
public data class KeyOwner(
    /** Customer. */
    public val customer: Customer,
    /** Key. */
    public val key: CustomerKey,
)

/** The configuration in force, indexed for the data path. */
public class ActiveConfig(
    /** Position of the publication. */
    public val offset: Offset,
    /** The configuration. */
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

    /** The key with this hash unless it is unknown or withdrawn. */
    public fun keyOwner(sha256: String): KeyOwner? = keys[sha256]?.takeUnless { it.key.withdrawn }

    /** All model routes. */
    public fun modelRoutes(): Collection<Route> = models.values

    /** The route of [model]. */
    public fun modelRoute(model: String): Route? = models[model]

    /** The service route with the longest prefix of [path], on whole segments. */
    public fun serviceRoute(path: String): Route? = services.firstOrNull { it.covers(path) }

    /** Targets of [route]. */
    public fun targets(route: Route): List<Target> = targets[route.name].orEmpty()

    private fun Route.covers(requestPath: String): Boolean {
        val prefix = path.trimEnd('/')
        return requestPath == prefix || requestPath.startsWith("$prefix/")
    }
}
