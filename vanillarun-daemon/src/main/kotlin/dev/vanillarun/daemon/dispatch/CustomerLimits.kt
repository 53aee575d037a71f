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

/** Whether a customer's limits let a request in. */
public sealed interface LimitDecision {
    /** They do; [CustomerLimits.release] gives the place back. */
    public data object Granted : LimitDecision

    /** The customer has as many requests in progress as it may. */
    public data class TooMany(
        /** When coming back helps. */
        public val retryAfter: Duration,
    ) : LimitDecision

    /** The customer is over its rate. */
    public data class TooFast(
        /** When coming back helps. */
        public val retryAfter: Duration,
    ) : LimitDecision
}

/** Demand of a customer at this instance. */
public data class LocalDemand(
    /** Requests in progress. */
    public val inProgress: Int,
    /** Requests refused for want of a share since the last summary. */
    public val refused: Int,
)

/** This instance's part of the customers' limits on concurrency and rate. */
public class CustomerLimits(private val clock: MonotonicClock) {
    private class Account {
        var inProgress = 0
        var refused = 0
        var bucket: TokenBucket? = null
    }

    private val accounts = ConcurrentHashMap<CustomerId, Account>()

    /** Parts of the limits, from the demand that the instances tell each other. */
    @Volatile
    public var shares: (CustomerId) -> LimitShare = { LimitShare.Whole }

    /** Asks for a place for a request of [work] tokens. */
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

    /** A request that was let in with [expected] tokens ended after [actual]. */
    public fun release(customer: CustomerId, expected: Long, actual: Long) {
        val account = accounts[customer] ?: return
        synchronized(account) {
            account.inProgress--
            account.bucket = account.bucket?.refund(expected - actual, clock.now())
        }
    }

    /** Demand since the last call, by customer. */
    public fun drainDemand(): Map<CustomerId, LocalDemand> = accounts.mapValues { (_, account) ->
        synchronized(account) {
            LocalDemand(account.inProgress, account.refused).also { account.refused = 0 }
        }
    }

    private companion object {
        val RETRY_AFTER = 200.milliseconds
    }
}
