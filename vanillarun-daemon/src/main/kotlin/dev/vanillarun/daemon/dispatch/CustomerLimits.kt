package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.limit.LimitShare
import dev.vanillarun.core.limit.RateDecision
import dev.vanillarun.core.limit.TokenBucket
import dev.vanillarun.core.time.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Whether a customer's limits admit a request. */
public sealed interface LimitDecision {
    /** Admitted; [CustomerLimits.release] has to be called when the request ends. */
    public data object Granted : LimitDecision

    /** The customer has reached its limit on concurrent requests. */
    public data class TooMany(
        /** Delay after which a retry can succeed. */
        public val retryAfter: Duration,
    ) : LimitDecision

    /** The customer exceeded its token rate. */
    public data class TooFast(
        /** Delay after which a retry can succeed. */
        public val retryAfter: Duration,
    ) : LimitDecision
}

/** Demand of one customer at this instance, as sent to peers. */
public data class LocalDemand(
    /** Number of admitted requests that have not ended. */
    public val inProgress: Int,
    /** Number of requests rejected by a limit since the last call of [CustomerLimits.drainDemand]. */
    public val refused: Int,
)

/** Enforces this instance's share of the customers' limits on concurrency and token rate. */
public class CustomerLimits(private val clock: MonotonicClock) {
    private class Account {
        var inProgress = 0
        var refused = 0
        var bucket: TokenBucket? = null
    }

    private val accounts = ConcurrentHashMap<CustomerId, Account>()

    /** This instance's share of a customer's limits, computed from the demand that instances exchange in heartbeats. */
    @Volatile
    public var shares: (CustomerId) -> LimitShare = { LimitShare.Whole }

    /** Admits or rejects a request with an expected work of [work] tokens. */
    public fun acquire(customer: Customer, work: Long): LimitDecision {
        val account = accounts.computeIfAbsent(customer.id) { Account() }
        val share = shares(customer.id)
        return synchronized(account) {
            if (account.inProgress >= share.concurrency(customer.maxConcurrency)) {
                account.refused++
                LimitDecision.TooMany(RETRY_AFTER)
            } else {
                account.take(customer, share, work)
            }
        }
    }

    private fun Account.take(customer: Customer, share: LimitShare, work: Long): LimitDecision {
        val decision = refilled(customer, share)?.take(work, clock.now())
        if (decision is RateDecision.Limited) {
            refused++
            return LimitDecision.TooFast(decision.retryAfter)
        }
        bucket = (decision as? RateDecision.Granted)?.next
        inProgress++
        return LimitDecision.Granted
    }

    private fun Account.refilled(customer: Customer, share: LimitShare): TokenBucket? {
        if (customer.tokensPerSecond <= 0) return null
        val now = clock.now()
        val rate = share.rate(customer.tokensPerSecond)
        val old = bucket ?: return TokenBucket(rate, rate, at = now)
        return if (old.perSecond == rate) old else old.withRate(rate, rate, now)
    }

    /** Ends a request that was admitted with [expected] tokens, and refunds the difference to [actual]. */
    public fun release(customer: CustomerId, expected: Long, actual: Long) {
        val account = accounts[customer] ?: return
        synchronized(account) {
            account.inProgress--
            account.bucket = account.bucket?.refund(expected - actual, clock.now())
        }
    }

    /** Demand by customer; resets the counts of rejected requests. */
    public fun drainDemand(): Map<CustomerId, LocalDemand> = accounts.mapValues { (_, account) ->
        synchronized(account) {
            LocalDemand(account.inProgress, account.refused).also { account.refused = 0 }
        }
    }

    private companion object {
        val RETRY_AFTER = 200.milliseconds
    }
}
