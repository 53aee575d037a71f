package dev.vanillarun.core.retry

/** Rate and burst of retries that a [RetryBudget] allows. */
public data class RetryRules(
    /** Retries allowed for each first attempt. */
    public val ratio: Double = 0.1,
    /** Maximum number of retries that can accumulate. */
    public val burst: Double = 10.0,
)

/**
 * Token bucket that limits retries to a ratio of first attempts. Immutable; keep it in an atomic reference.
 *
 * In any period, [spend] grants at most `burst + ratio * first attempts` retries.
 *
 * ```kotlin
 * val budget = RetryBudget(RetryRules(ratio = 0.5, burst = 1.0), available = 0.0)
 * budget.spend()                               // null: no retry available
 * budget.firstAttempt().firstAttempt().spend() // a budget with no retry left
 * ```
 */
public data class RetryBudget(
    /** Ratio and burst of this budget. */
    public val rules: RetryRules = RetryRules(),
    /** Number of retries currently available, fractions included. */
    public val available: Double = rules.burst,
) {
    /** Returns the budget after a first attempt, which adds [RetryRules.ratio] retries up to the burst. */
    public fun firstAttempt(): RetryBudget = copy(available = minOf(rules.burst, available + rules.ratio))

    /** Returns the budget after one retry, or null if less than one retry is available. */
    public fun spend(): RetryBudget? = if (available < 1.0) null else copy(available = available - 1.0)
}
