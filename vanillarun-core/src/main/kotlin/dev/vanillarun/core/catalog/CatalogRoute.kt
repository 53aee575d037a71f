package dev.vanillarun.core.catalog

import dev.vanillarun.core.zone.DataCentre
import kotlin.time.Duration

/** What a route allows to be repeated, and how its answers come. */
public enum class RequestKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** A stream of events; runs at most once unless the route is resumable. */
    STREAM,

    /** Takes batch jobs, whose items run later. */
    ROLLOUT,
}

/** A route from callers to services. */
public data class CatalogRoute(
    /** Name. */
    public val name: String,
    /** Host that callers name. */
    public val host: String,
    /** Prefix of the path, beginning and ending with a slash. */
    public val pathPrefix: String,
    /** What may be repeated. */
    public val kind: RequestKind,
    /** Services that it leads to, with the share of requests of each. */
    public val services: List<ServiceShare>,
    /** Longest time that a caller may be kept waiting. */
    public val timeout: Duration,
    /** Time within which an answer is worth most. */
    public val objective: Duration,
    /** Rank, 0 first. */
    public val priority: Int = 0,
    /** Targets that one request may be sent to at most. */
    public val maxAttempts: Int = 1,
    /** True if requests need no key. */
    public val open: Boolean = false,
    /** True if a broken stream may go on at another target. */
    public val resumable: Boolean = false,
    /** True if all events of a sample must come from one weight version. */
    public val singleVersion: Boolean = false,
    /** Time after submission within which all results of a job are due. */
    public val jobObjective: Duration? = null,
    /** Time after submission from which on an unfinished sample may be given up. */
    public val jobRetention: Duration? = null,
)

/** Part of a route's requests that goes to one service. */
public data class ServiceShare(
    /** Service. */
    public val service: String,
    /** Weight relative to the others. */
    public val weight: Int = 1,
)

/** A service that routes lead to. */
public data class CatalogService(
    /** Name. */
    public val name: String,
    /** Models that its targets can serve; empty for a plain service. */
    public val models: List<String> = emptyList(),
    /** Requests that a target runs at a time; null where only its announcement says so. */
    public val slots: Int? = null,
    /** Bounds and prices of its targets; null where their number is not ours to order. */
    public val spending: ServiceSpending? = null,
)

/** What may be ordered for a service, and what it costs. */
public data class ServiceSpending(
    /** Targets of one data centre; firm and reclaimable ones count together. */
    public val bounds: IntRange,
    /** Time from an order until its targets serve. */
    public val startup: Duration,
    /** Price of a reclaimable target as part of a firm one's; null where none are offered. */
    public val reclaimablePrice: Double? = null,
    /** Price of a target by data centre; the data centres in which orders are taken. */
    public val prices: Map<DataCentre, Double> = emptyMap(),
)
