package dev.vanillarun.core.order

import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Known state of the weights on one target. */
public data class WeightReplica(
    /** Identity of the target. */
    public val target: TargetId,
    /** Data centre that the target runs in. */
    public val dataCentre: DataCentre,
    /** Routes that the target serves; each counts it as one of its copies. */
    public val routes: Set<RouteName>,
    /** Version that the target serves; null if unknown. */
    public val version: WeightVersion?,
    /** Start of the load in progress; null if there is none. */
    public val loadingSince: Instant? = null,
    /** Number of consecutive failed loads. */
    public val failures: Int = 0,
    /** Time of the last failed load; null if none has failed. */
    public val failedAt: Instant? = null,
)

/** Limits on concurrent loads, and timeout and backoff of a weight roll-out. */
public data class RolloutLimits(
    /** Maximum number of concurrent loads; derived from the weight store's rate and the duration of one load. */
    public val maxLoading: Int,
    /** Maximum fraction of a route's copies that load at the same time; at least one copy may always load. */
    public val maxLoadingPart: Double = 0.5,
    /** Time after which a load in progress counts as failed. */
    public val loadTimeout: Duration = 30.seconds,
    /** Backoff of a target after its first failed load; each further failure doubles it, up to a factor of 32. */
    public val retryBackoff: Duration = 500.milliseconds,
)

/**
 * Returns the targets that should start to load [version] at [now], in order of preference.
 *
 * Targets without failed loads come first, so that a failing load never delays the others; among these the most
 * outdated come first, alternating between data centres. At most [RolloutLimits.maxLoadingPart] of the copies of any
 * route load at the same time.
 *
 * ```
 * val next = planWeightLoads(replicas, newest, RolloutLimits(maxLoading = 4), now)
 * ```
 */
public fun planWeightLoads(
    replicas: List<WeightReplica>,
    version: WeightVersion,
    limits: RolloutLimits,
    now: Instant,
): List<TargetId> {
    val copies = replicas.flatMap { it.routes }.groupingBy { it }.eachCount()
    val loading = replicas.filter { it.isLoading(limits, now) }
    val loadingByRoute = loading.flatMap { it.routes }.groupingBy { it }.eachCountTo(HashMap())
    val chosen = mutableListOf<TargetId>()
    for (replica in candidates(replicas, version, limits, now)) {
        val belowLimit = loading.size + chosen.size < limits.maxLoading
        if (belowLimit &&
            replica.routes.all { (loadingByRoute[it] ?: 0) < limits.maxLoadingCopies(copies.getValue(it)) }
        ) {
            replica.routes.forEach { loadingByRoute.merge(it, 1, Int::plus) }
            chosen += replica.target
        }
    }
    return chosen
}

/** Maximum number of copies that may load at the same time on a route with [copies] copies. */
private fun RolloutLimits.maxLoadingCopies(copies: Int): Int =
    (copies * maxLoadingPart).toInt().coerceAtMost(copies - 1).coerceAtLeast(1)

private fun candidates(
    replicas: List<WeightReplica>,
    version: WeightVersion,
    limits: RolloutLimits,
    now: Instant,
): List<WeightReplica> {
    val due = replicas.filter { (it.version == null || it.version < version) && it.isDue(limits, now) }
    val ranked = due.sortedWith(compareBy({ it.failures }, { it.version?.number ?: -1 }, { it.target.value }))
    val indexed = ranked.groupBy { it.dataCentre }.values.flatMap { it.withIndex() }
    return indexed.sortedWith(compareBy({ it.value.failures }, { it.index })).map { it.value }
}

private fun WeightReplica.isLoading(limits: RolloutLimits, now: Instant): Boolean =
    loadingSince != null && now - loadingSince < limits.loadTimeout

private fun WeightReplica.isDue(limits: RolloutLimits, now: Instant): Boolean {
    if (isLoading(limits, now)) return false
    val backoff = limits.retryBackoff * (1 shl failures.coerceAtMost(MAX_DOUBLINGS)) / 2
    return failedAt == null || failures == 0 || now - failedAt >= backoff
}

private const val MAX_DOUBLINGS = 6
