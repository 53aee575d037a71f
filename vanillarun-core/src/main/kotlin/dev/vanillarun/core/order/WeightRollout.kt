package dev.vanillarun.core.order

import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What is known of the weights of one target. */
public data class WeightReplica(
    /** Target. */
    public val target: TargetId,
    /** Data centre it stands in. */
    public val dataCentre: DataCentre,
    /** Routes that it serves. */
    public val routes: Set<RouteName>,
    /** Version that it serves; null if unknown. */
    public val version: WeightVersion?,
    /** Since when it has been loading; null if it is not. */
    public val loadingSince: Instant? = null,
    /** Loads that failed in a row. */
    public val failures: Int = 0,
    /** When the last of them failed. */
    public val failedAt: Instant? = null,
)

/** Bounds on a weight roll-out. */
public data class RolloutLimits(
    /** Loads under way at a time; follows from the weight store's rate and the time that one load takes. */
    public val maxLoading: Int,
    /** Greatest part of the copies of a route that load at a time; at least one always may. */
    public val maxLoadingPart: Double = 0.5,
    /** Time after which a load counts as failed. */
    public val loadTimeout: Duration = 30.seconds,
    /** Pause of a target after its first failed load; doubled by each further one. */
    public val retryBackoff: Duration = 500.milliseconds,
)

/**
 * Chooses the targets that load [version] next, best first.
 *
 * Targets that did not fail go before those that did, so that a failed swap never holds the others up; among them the
 * most outdated go first, alternating between data centres. No more than the given part of the copies of any route
 * load at a time.
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
    val busy = loading.flatMap { it.routes }.groupingBy { it }.eachCountTo(HashMap())
    val chosen = mutableListOf<TargetId>()
    for (replica in candidates(replicas, version, limits, now)) {
        val room = loading.size + chosen.size < limits.maxLoading
        if (room && replica.routes.all { (busy[it] ?: 0) < limits.mostLoading(copies.getValue(it)) }) {
            replica.routes.forEach { busy.merge(it, 1, Int::plus) }
            chosen += replica.target
        }
    }
    return chosen
}

/** Copies of a route with [copies] that may load at a time. */
private fun RolloutLimits.mostLoading(copies: Int): Int =
    (copies * maxLoadingPart).toInt().coerceAtMost(copies - 1).coerceAtLeast(1)

private fun candidates(
    replicas: List<WeightReplica>,
    version: WeightVersion,
    limits: RolloutLimits,
    now: Instant,
): List<WeightReplica> {
    val due = replicas.filter { (it.version == null || it.version < version) && it.isDue(limits, now) }
    val ranked = due.sortedWith(compareBy({ it.failures }, { it.version?.number ?: -1 }, { it.target.value }))
    val turns = ranked.groupBy { it.dataCentre }.values.flatMap { it.withIndex() }
    return turns.sortedWith(compareBy({ it.value.failures }, { it.index })).map { it.value }
}

private fun WeightReplica.isLoading(limits: RolloutLimits, now: Instant): Boolean =
    loadingSince != null && now - loadingSince < limits.loadTimeout

private fun WeightReplica.isDue(limits: RolloutLimits, now: Instant): Boolean {
    if (isLoading(limits, now)) return false
    val pause = limits.retryBackoff * (1 shl failures.coerceAtMost(MAX_DOUBLINGS)) / 2
    return failedAt == null || failures == 0 || now - failedAt >= pause
}

private const val MAX_DOUBLINGS = 6
