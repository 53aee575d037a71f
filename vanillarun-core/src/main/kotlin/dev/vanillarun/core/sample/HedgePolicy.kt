package dev.vanillarun.core.sample

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which slow attempts are hedged, that is, get a second attempt in parallel.
 *
 * An attempt is slow when it has run longer than [slowFactor] times the median duration of the step's completed
 * attempts. Hedges are started only when no sample is waiting, and for at most [budgetPercent] of the step's samples.
 */
public data class HedgePolicy(
    /** Multiple of the median duration above which an attempt is slow. */
    public val slowFactor: Double = 2.0,
    /** Completed attempts required before the median is used, in percent of the step's samples. */
    public val minCompletedPercent: Int = 30,
    /** Greatest number of hedges over the whole step, in percent of its samples. */
    public val budgetPercent: Int = 8,
    /** Lower limit of [threshold]. */
    public val minThreshold: Duration = 1.seconds,
) {
    /** Running time above which an attempt is slow, null while too few of the step's [size] samples are [completed]. */
    public fun threshold(completed: List<Duration>, size: Int): Duration? {
        if (completed.isEmpty() || completed.size * PERCENT < size * minCompletedPercent) return null
        val median = completed.sorted()[completed.size / 2]
        return maxOf(median * slowFactor, minThreshold)
    }

    /** Greatest number of hedges for a step of [size] samples, at least one. */
    public fun budget(size: Int): Int = maxOf(1, size * budgetPercent / PERCENT)

    private companion object {
        const val PERCENT = 100
    }
}
