package dev.vanillarun.core.config

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Complete configuration by the operators, as published in the log. Its lists must not be mutated. */
@Serializable
public data class RolloutConfig(
    /** Customers and the hashes of their API keys. */
    public val customers: List<Customer> = emptyList(),
    /** Routes that callers can use. */
    public val routes: List<Route> = emptyList(),
    /** Targets that serve the routes. */
    public val targets: List<Target> = emptyList(),
    /** Priority classes, the most important first. */
    public val priorities: List<PriorityClass> = emptyList(),
    /** Bounds for the number of targets that are ordered. */
    public val spending: List<SpendingRule> = emptyList(),
    /** Data centres whose targets get no new requests; set by `vanillarun evacuate`, not by files. */
    public val evacuated: List<DataCentre> = emptyList(),
)

/** A customer with its limits and API keys. */
@Serializable
public data class Customer(
    /** Id, unique in the configuration. */
    public val id: CustomerId,
    /** Share of capacity relative to other customers of the same priority class. */
    public val weight: Int = 1,
    /** Maximum number of concurrent requests over all instances. */
    public val maxConcurrency: Int = 256,
    /** Sustained rate limit in tokens per second over all instances; zero means no limit. */
    public val tokensPerSecond: Long = 0,
    /** API keys, stored as hashes. */
    public val keys: List<CustomerKey> = emptyList(),
)

/** An API key of a customer. A key that is no longer listed, or is listed as withdrawn, is rejected. */
@Serializable
public data class CustomerKey(
    /** Public id of the key, which may appear in logs. */
    public val id: String,
    /** SHA-256 of the secret, in lower-case hexadecimal. */
    public val sha256: String,
    /** True if the key is withdrawn and must be rejected. */
    public val withdrawn: Boolean = false,
)

/** Kind of the targets that serve a route. */
@Serializable
public enum class RouteKind {
    /** Model engines with the inference API. */
    @SerialName("model")
    MODEL,

    /** Plain services that get any HTTP call under the path prefix. */
    @SerialName("service")
    SERVICE,
}

/** Maps the calls for a model or a path prefix to a set of targets. */
@Serializable
public data class Route(
    /** Name, unique in the configuration. */
    public val name: RouteName,
    /** Kind of its targets. */
    public val kind: RouteKind,
    /** Model name that callers send; empty for service routes. */
    public val model: String = "",
    /** Path prefix, for instance `/loans`; empty for model routes. */
    public val path: String = "",
    /** True if requests need no API key. */
    public val open: Boolean = false,
    /** Customers that may use the route; empty means all. */
    public val customers: List<CustomerId> = emptyList(),
    /** Name of the priority class of live calls. */
    public val priority: String = "live",
    /** HTTP methods whose calls are idempotent and may be retried. */
    public val idempotentMethods: List<String> = listOf("GET", "HEAD", "OPTIONS"),
    /** Default deadline in milliseconds, if the caller sets none. */
    public val deadlineMs: Long = 30_000,
    /** Number of versions that a sample may lag behind the newest weights when it is delivered. */
    public val maxVersionLag: Long = 1,
    /** Queue capacity of each instance; requests beyond it are refused. */
    public val queueLimit: Int = 512,
)

/** A class of requests that is served before the classes after it. */
@Serializable
public data class PriorityClass(
    /** Name, unique in the configuration, for instance `rollout`, `live` or `sync`. */
    public val name: String,
    /** Percentage of capacity that lower classes keep while this class has a backlog. */
    public val yieldPercent: Int = 5,
)

/** Kind of a target. */
@Serializable
public enum class TargetKind {
    /** Model engine, which serves model routes. */
    @SerialName("engine")
    ENGINE,

    /** Replica of a plain service, which serves service routes. */
    @SerialName("service")
    SERVICE,
}

/** One replica of a back end. */
@Serializable
public data class Target(
    /** Id, unique in the configuration. */
    public val id: TargetId,
    /** Whether it is a model engine or a plain service. */
    public val kind: TargetKind,
    /** Base URL of scheme, IP address and port, for instance `http://127.0.0.1:9001`. */
    public val address: String,
    /** Data centre in which it runs. */
    public val dataCentre: DataCentre,
    /** Names of the routes that it serves. */
    public val routes: List<RouteName>,
    /** Number of requests that it runs concurrently without queueing. */
    public val concurrency: Int = 16,
    /** True if the platform may reclaim it at any time. */
    public val reclaimable: Boolean = false,
    /** True if it rejects orders with an outdated fencing token. */
    public val fenced: Boolean = false,
    /** Cost per hour in thousandths of the account's currency unit. */
    public val costPerHourMilli: Long = 0,
    /** Credential that the system presents to the target; never the API key of a caller. */
    public val credential: String = "",
)

/** Bounds for the number of targets of a route in a data centre. */
@Serializable
public data class SpendingRule(
    /** Name of the route. */
    public val route: RouteName,
    /** Data centre that the bounds apply to. */
    public val dataCentre: DataCentre,
    /** Minimum number of targets. */
    public val floor: Int,
    /** Maximum number of targets. */
    public val ceiling: Int,
)
