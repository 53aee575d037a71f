package dev.vanillarun.daemon.forward

import dev.vanillarun.core.retry.FailedAttempt
import dev.vanillarun.core.retry.RetryBackoff
import dev.vanillarun.core.retry.RetryBudget
import dev.vanillarun.core.retry.RetryDecision
import dev.vanillarun.core.retry.RetryPolicy
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** Applies the retry policy with one retry budget for all calls of this instance. Thread-safe. */
public class RetryGate(private val policy: RetryPolicy, private val backoff: RetryBackoff) {
    private val budget = AtomicReference(RetryBudget())

    /** Counts a first attempt, which adds to the retry budget. */
    public fun firstAttempt() {
        budget.updateAndGet { it.firstAttempt() }
    }

    /** Decides what follows the failed [attempt]; a granted retry is deducted from the budget. */
    public fun decide(attempt: FailedAttempt): RetryDecision {
        while (true) {
            val before = budget.get()
            val decision = policy.decide(attempt, before)
            val committed = decision !is RetryDecision.Retry || budget.compareAndSet(before, decision.budget)
            if (committed) return decision
        }
    }

    /** Delay to suggest to a caller whose retry the budget does not cover. */
    public fun retryAfter(): Duration = backoff.delayAfter(ASSUMED_FAILURES)

    /**
     * Delay before accepted, idempotent work is attempted again after [attempt] failed: the retry delay if the budget
     * grants a retry, otherwise the longer backoff.
     */
    public fun repeatDelay(attempt: FailedAttempt): Duration {
        val decision = decide(attempt)
        return if (decision is RetryDecision.Retry) decision.delay else backoff.delayAfter(attempt.attempts)
    }

    private companion object {
        /** Failures that [retryAfter] assumes for its backoff, which gives one to two seconds. */
        const val ASSUMED_FAILURES = 3
    }
}
