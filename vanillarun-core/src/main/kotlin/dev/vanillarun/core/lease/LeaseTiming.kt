package dev.vanillarun.core.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Durations of a lease. They must be the same on all instances.
 *
 * Instances never compare clock readings with each other. Only the rates of their clocks matter, which may differ by
 * the fraction [drift].
 */
public data class LeaseTiming(
    /** How long a holder may act after it sent a renewal that it later read back from the log. */
    public val term: Duration = 9.seconds,
    /** Interval between two renewals; less than half of [term], so that a second renewal fits into the term. */
    public val renewalInterval: Duration = term / RENEWALS_PER_TERM,
    /** Upper bound of the time by which an order may still take effect after its sender gave up on it. */
    public val maxEffectDelay: Duration = 2.seconds,
    /** Maximum relative difference between the rates of two clocks, from 0.0 to 0.5. */
    public val drift: Double = 0.02,
    /** Maximum random delay of a claim, so that challengers and successors do not claim at the same time. */
    public val maxClaimJitter: Duration = term / JITTERS_PER_TERM,
    /** Interval after which a claim or release that was not read back is repeated. */
    public val claimRetryInterval: Duration = term / CLAIMS_PER_TERM,
) {
    /**
     * How long a challenger waits after it read the last record of a duty. Longer than the holder may act, because it
     * covers the clock drift of both sides and [maxEffectDelay].
     */
    public val challengeDelay: Duration = term * (1 + drift) * (1 + drift) + maxEffectDelay

    init {
        require(renewalInterval * 2 < term) {
            "renewal interval $renewalInterval must be less than half of the lease term $term"
        }
        require(drift in 0.0..MAX_DRIFT) { "clock drift $drift must be a fraction between 0.0 and $MAX_DRIFT" }
    }

    private companion object {
        const val MAX_DRIFT = 0.5

        /** Numbers of renewals, claims and maximum claim delays that fit into one term. */
        const val RENEWALS_PER_TERM = 3
        const val CLAIMS_PER_TERM = 6
        const val JITTERS_PER_TERM = 9
    }
}
