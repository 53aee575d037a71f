package dev.vanillarun.core.catalog

import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.core.zone.Region
import kotlin.time.Duration

/** Kind of the requests of a route: whether they may be retried, and how responses are delivered. */
public enum class RequestKind {
    /** May run more than once, so a failed request may be retried. */
    IDEMPOTENT,

    /** Must run at most once; retried only if no target can have run it. */
    NON_IDEMPOTENT,

    /** Answered by a stream of events; runs at most once unless [CatalogRoute.resumable]. */
    STREAM,

    /** Accepts batch jobs, whose items run asynchronously. */
    ROLLOUT,
}

/** Maps requests by host and path to services, with their limits. */
public data class CatalogRoute(
    /** Name, unique in the catalog. */
    public val name: String,
    /** Value of the `Host` header; letter case is ignored. */
    public val host: String,
    /** Path prefix that begins and ends with a slash. */
    public val pathPrefix: String,
    /** Whether requests may be retried, and how responses are delivered. */
    public val kind: RequestKind,
    /** Services that serve the route, with the share of requests of each. */
    public val services: List<ServiceShare>,
    /** Longest time until the caller gets a response. */
    public val timeout: Duration,
    /** Target latency; a later response is worth less but still useful until [timeout]. */
    public val objective: Duration,
    /** Priority rank, 0 is served first. */
    public val priority: Int = 0,
    /** Maximum number of targets that one request is sent to, the first one included. */
    public val maxAttempts: Int = 1,
    /** True if requests need no API key. */
    public val open: Boolean = false,
    /** True if a broken stream may be resumed at another target. */
    public val resumable: Boolean = false,
    /** True if all events of a sample must come from the same weight version. */
    public val singleVersion: Boolean = false,
    /** Time after submission within which all results of a job are due; null if there is no such objective. */
    public val jobObjective: Duration? = null,
    /** Time after submission from which an unfinished sample may be aborted; null if never. */
    public val jobRetention: Duration? = null,
    /** Regions in which its requests may be processed; empty if any may. */
    public val regions: Set<Region> = emptySet(),
)

/** Share of a route's requests that one service gets. */
public data class ServiceShare(
    /** Name of the service. */
    public val service: String,
    /** Weight relative to the other services of the route. */
    public val weight: Int = 1,
)

/** A set of interchangeable targets that routes refer to. */
public data class CatalogService(
    /** Name, unique in the catalog. */
    public val name: String,
    /** Models that its targets can serve; empty for a service without models. */
    public val models: List<String> = emptyList(),
    /** Concurrent requests of a target; null if only [Replica.slots] gives the number. */
    public val slots: Int? = null,
    /** Bounds and prices for ordering targets; null if this system does not control their number. */
    public val spending: ServiceSpending? = null,
    /** What its targets bear after a start; null if they bear their full load at once. */
    public val coldStart: ColdStart? = null,
)

/** Limit on the requests that a target bears for a while after its start, or after it has declared itself cold. */
public data class ColdStart(
    /** Time after its start for which a target is cold. */
    public val duration: Duration,
    /** Requests per second that a cold target bears, summed over all instances; above zero. */
    public val requestsPerSecond: Double,
)

/** Bounds and prices for the number of targets of a service. */
public data class ServiceSpending(
    /** Number of targets in one data centre, firm and reclaimable ones together. */
    public val bounds: IntRange,
    /** Time from an order until the new targets serve requests. */
    public val startup: Duration,
    /** Price of a reclaimable target as a fraction of the price of a firm one; null if none are offered. */
    public val reclaimablePrice: Double? = null,
    /** Price of a target by data centre; targets can be ordered in these data centres only. */
    public val prices: Map<DataCentre, Double> = emptyMap(),
)
