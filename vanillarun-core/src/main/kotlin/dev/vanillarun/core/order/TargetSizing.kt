package dev.vanillarun.core.order

import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.time.Instant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Demand for targets of one route in one data centre. */
public data class TargetDemand(
    /** Average number of requests, in flight or queued, that can be repeated on another target. */
    public val repeatable: Double,
    /** Average number of requests, in flight or queued, that cannot be repeated and must not be lost with a target. */
    public val nonRepeatable: Double,
    /** Current number of targets that the platform may reclaim at any time. */
    public val reclaimableTargets: Int = 0,
    /** Number of requests that one target runs concurrently without queueing. */
    public val concurrency: Int,
)

/** Parameters for scaling the number of targets with demand. */
public data class SizingPolicy(
    /** Fraction of a target's concurrency that demand should fill, above zero and at most one. */
    public val utilization: Double = 0.7,
    /** Time that demand must stay low before targets are removed. */
    public val shrinkAfter: Duration = 10.minutes,
) {
    init {
        require(utilization > 0 && utilization <= 1) { "utilization must be above 0 and at most 1: $utilization" }
    }
}

/** Desired number of targets, with the state that delays scaling down. Immutable. */
public data class TargetSizing(
    /** Number of targets to run. */
    public val desired: Int,
    /** Time since which demand has required fewer than [desired] targets; null while it does not. */
    public val lowSince: Instant? = null,
    /** Maximum number of targets that demand has required since [lowSince]. */
    public val lowPeak: Int = 0,
) {
    /**
     * Returns the sizing for [demand] at [now], within the floor and the ceiling of [rule].
     *
     * Targets are added immediately. They are removed only after demand has required fewer for the whole of
     * [SizingPolicy.shrinkAfter], and then down to the maximum number required in that time.
     */
    public fun adjust(demand: TargetDemand, rule: SpendingRule, policy: SizingPolicy, now: Instant): TargetSizing =
        adjust(demand, rule.floor..rule.ceiling, policy, now)

    /** Returns the sizing for [demand] at [now] like the overload above, with floor and ceiling given as [bounds]. */
    public fun adjust(demand: TargetDemand, bounds: IntRange, policy: SizingPolicy, now: Instant): TargetSizing {
        val needed = requiredTargets(demand, policy).coerceAtMost(bounds.last).coerceAtLeast(bounds.first)
        val kept = desired.coerceAtMost(bounds.last)
        return when {
            needed >= kept -> TargetSizing(needed)
            lowSince == null -> TargetSizing(kept, lowSince = now, lowPeak = needed)
            now - lowSince >= policy.shrinkAfter -> TargetSizing(maxOf(lowPeak, needed))
            else -> TargetSizing(kept, lowSince, maxOf(lowPeak, needed))
        }
    }

    /** Computes the number of targets for a demand. */
    public companion object {
        /**
         * Returns the number of targets that [demand] requires: enough for all requests at the target utilization, and
         * enough that the non-repeatable requests fit on the remaining targets if all reclaimable ones are reclaimed.
         */
        public fun requiredTargets(demand: TargetDemand, policy: SizingPolicy): Int {
            val forAllRequests = (demand.repeatable + demand.nonRepeatable) / (demand.concurrency * policy.utilization)
            val forNonRepeatable = demand.nonRepeatable / demand.concurrency
            val reclaimable = if (demand.nonRepeatable > 0) demand.reclaimableTargets else 0
            return maxOf(ceil(forAllRequests).toInt(), ceil(forNonRepeatable).toInt() + reclaimable)
        }
    }
}
