package dev.vanillarun.core.limit

import dev.vanillarun.core.id.InstanceId

/** Demand of one customer at one instance, as exchanged between instances. */
public data class InstanceDemand(
    /** Instance that reports the demand. */
    public val instance: InstanceId,
    /** Requests in progress, queued, and rejected since the last summary because the share was used up. */
    public val requests: Int,
)

/** Fraction of the limits of a customer that one instance may use. */
public data class LimitShare(
    /** Fraction of the whole limit, greater than 0.0 and at most 1.0. */
    public val fraction: Double,
) {
    /** Share of a concurrency [limit]; at least 1, so that no caller is locked out. */
    public fun concurrency(limit: Int): Int = (limit * fraction).toInt().coerceIn(1, limit.coerceAtLeast(1))

    /** Share of a rate limit of [perSecond] tokens per second. */
    public fun rate(perSecond: Long): Double = perSecond * fraction

    /** Computes shares from the demand of the instances. */
    public companion object {
        /** Fraction of a limit that is split evenly, so that an instance without demand can serve requests at once. */
        private const val EVEN_PART = 0.2

        /** Share of an instance that has no peers: the whole limit. */
        public val Whole: LimitShare = LimitShare(1.0)

        /**
         * Share of [self] next to [peers], all instances that are believed to be alive.
         *
         * A part of the limit is split evenly and the rest in proportion to demand. The shares of all instances add up
         * to 1 when they use the same summaries. While the summaries differ, the sum can exceed 1 for about one
         * exchange.
         */
        public fun of(self: InstanceDemand, peers: Collection<InstanceDemand>): LimitShare {
            val others = peers.filter { it.instance != self.instance }
            val even = 1.0 / (others.size + 1)
            val total = others.sumOf { it.requests.coerceAtLeast(0).toLong() } + self.requests.coerceAtLeast(0)
            val byDemand = if (total == 0L) even else self.requests.coerceAtLeast(0).toDouble() / total
            return LimitShare(EVEN_PART * even + (1 - EVEN_PART) * byDemand)
        }
    }
}
