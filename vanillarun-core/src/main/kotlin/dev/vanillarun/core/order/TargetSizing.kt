package dev.vanillarun.core.order

import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.time.Instant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Demand for the targets of one route in one data centre. */
public data class TargetDemand(
    /** Requests in progress or waiting that could be repeated elsewhere, on average. */
    public val repeatable: Double,
    /** Requests in progress or waiting that must not be lost with a target, on average. */
    public val nonRepeatable: Double,
    /** Targets at present that the platform may take away at any time. */
    public val reclaimableTargets: Int = 0,
    /** Requests that one target runs at a time without queueing. */
    public val concurrency: Int,
)

/** How the number of targets follows demand. */
public data class SizingPolicy(
    /** Part of a target's concurrency that demand should fill. */
    public val utilization: Double = 0.7,
    /** How long demand must stay low before targets are given up. */
    public val shrinkAfter: Duration = 10.minutes,
) {
    init {
        require(utilization > 0 && utilization <= 1) { "utilization is a fraction above zero" }
    }
}

/** Number of targets that is wanted, and what is remembered to shrink it slowly. */
public data class TargetSizing(
    /** Wanted number. */
    public val desired: Int,
    /** Since when demand has asked for fewer; null while it does not. */
    public val lowSince: Instant? = null,
    /** Greatest number that demand asked for since then. */
    public val lowPeak: Int = 0,
) {
    /**
     * Takes in [demand] at [now].
     *
     * Targets are added at once. They are given up only after demand asked for fewer during the whole of
     * [SizingPolicy.shrinkAfter], and then down to the greatest number asked for in that time. The result keeps to the
     * floor and the ceiling of [rule].
     */
    public fun adjust(demand: TargetDemand, rule: SpendingRule, policy: SizingPolicy, now: Instant): TargetSizing =
        adjust(demand, rule.floor..rule.ceiling, policy, now)

    /** As above, with the floor and the ceiling as [bounds]. */
    public fun adjust(demand: TargetDemand, bounds: IntRange, policy: SizingPolicy, now: Instant): TargetSizing {
        val needed = needed(demand, policy).coerceAtMost(bounds.last).coerceAtLeast(bounds.first)
        val kept = desired.coerceAtMost(bounds.last)
        return when {
            needed >= kept -> TargetSizing(needed)
            lowSince == null -> TargetSizing(kept, lowSince = now, lowPeak = needed)
            now - lowSince >= policy.shrinkAfter -> TargetSizing(maxOf(lowPeak, needed))
            else -> TargetSizing(kept, lowSince, maxOf(lowPeak, needed))
        }
    }

    /** Sizing of demand. */
    public companion object {
        /**
         * Targets that [demand] asks for: enough for all of it at the wanted utilization, and enough that work which
         * must not be lost fits on those that stay when every reclaimable one is taken away.
         */
        public fun needed(demand: TargetDemand, policy: SizingPolicy): Int {
            val whole = (demand.repeatable + demand.nonRepeatable) / (demand.concurrency * policy.utilization)
            val stable = demand.nonRepeatable / demand.concurrency
            val kept = if (demand.nonRepeatable > 0) demand.reclaimableTargets else 0
            return maxOf(ceil(whole).toInt(), ceil(stable).toInt() + kept)
        }
    }
}
