package dev.vanillarun.core.limit

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Decision of a rate limit on a request for tokens. */
public sealed interface RateDecision {
    /** The tokens were taken; [next] replaces the bucket. */
    public data class Granted(
        /** Bucket without the tokens that were taken. */
        public val next: TokenBucket,
    ) : RateDecision

    /** The bucket has too few tokens and is unchanged. */
    public data class Limited(
        /** Time after which the same request succeeds if no other tokens are taken; an hour if none are refilled. */
        public val retryAfter: Duration,
    ) : RateDecision
}

/**
 * Token bucket with a capacity of [burst] tokens and a refill rate of [perSecond]. Immutable.
 *
 * A request for more tokens than the capacity is granted by a full bucket and leaves a negative level. It is delayed
 * rather than rejected for ever.
 *
 * ```kotlin
 * when (val decision = bucket.take(200, now)) {
 *     is RateDecision.Granted -> bucket = decision.next
 *     is RateDecision.Limited -> refuse(decision.retryAfter)
 * }
 * ```
 */
public data class TokenBucket(
    /** Refill rate in tokens per second; 0.0 means that tokens are never refilled. */
    public val perSecond: Double,
    /** Capacity in tokens. */
    public val burst: Double,
    /** Tokens in the bucket at the time [at]; negative while the debt of a large request is paid off. */
    public val level: Double = burst,
    /** Time to which [level] applies. */
    public val at: Instant,
) {
    /** Takes [amount] tokens at [now] if the bucket has enough of them. */
    public fun take(amount: Long, now: Instant): RateDecision {
        val current = refilled(now)
        val needed = minOf(amount.toDouble(), burst)
        if (current.level + ROUNDING >=
            needed
        ) {
            return RateDecision.Granted(current.copy(level = current.level - amount))
        }
        if (perSecond <= 0.0) return RateDecision.Limited(WAIT_WITHOUT_REFILL)
        return RateDecision.Limited(((needed - current.level) / perSecond).seconds)
    }

    /**
     * Returns [amount] tokens that were taken and not used; a negative amount charges tokens that were used beyond
     * those taken.
     */
    public fun refund(amount: Long, now: Instant): TokenBucket {
        val current = refilled(now)
        return current.copy(level = minOf(burst, current.level + amount))
    }

    /** Returns this bucket with another rate and capacity, for instance after the share of this instance changed. */
    public fun withRate(perSecond: Double, burst: Double, now: Instant): TokenBucket {
        val current = refilled(now)
        return TokenBucket(perSecond, burst, minOf(burst, current.level), current.at)
    }

    private fun refilled(now: Instant): TokenBucket {
        if (now <= at) return this
        val gained = (now - at).toDouble(DurationUnit.SECONDS) * perSecond
        return copy(level = minOf(burst, level + gained), at = now)
    }

    private companion object {
        /** Tolerance for floating-point rounding, in tokens. */
        const val ROUNDING = 1e-9

        /** Time until a caller asks again whether its customer has a rate by then. */
        val WAIT_WITHOUT_REFILL = 3600.seconds
    }
}
