package dev.vanillarun.core.retry

/** Share of retries and the burst that a budget allows. */
public data class RetryRules(
    /** Retries allowed for each first attempt. */
    public val ratio: Double = 0.1,
    /** Retries that may be saved up. */
    public val burst: Double = 10.0,
)

/**
 * Budget of retries as a share of first attempts. Immutable; keep it in an atomic reference.
 *
 * Over any period the retries that [spend] grants are at most `burst + share * first attempts`.
 *
 * ```kotlin
 * val budget = RetryBudget(RetryRules(share = 0.5, burst = 1.0), saved = 0.0)
 * budget.spend()                               // null: nothing saved
 * budget.firstAttempt().firstAttempt().spend() // a budget with nothing left
 * ```
 */
public data class RetryBudget(
    /** Rules. */
    public val rules: RetryRules = RetryRules(),
    /** Retries that may be made now. */
    public val saved: Double = rules.burst,
) {
    /** A request was sent for the first time. */
    public fun firstAttempt(): RetryBudget = copy(saved = minOf(rules.burst, saved + rules.ratio))

    /** The budget after one retry, or null if it does not allow one. */
    public fun spend(): RetryBudget? = if (saved < 1.0) null else copy(saved = saved - 1.0)
}
