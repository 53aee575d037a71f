package dev.vanillarun.daemon.forward

import dev.vanillarun.core.retry.FailedAttempt
import dev.vanillarun.core.retry.RetryBackoff
import dev.vanillarun.core.retry.RetryBudget
import dev.vanillarun.core.retry.RetryDecision
import dev.vanillarun.core.retry.RetryPolicy
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** The retry policy with the budget that all calls of this instance share. */
public class RetryGate(private val policy: RetryPolicy, private val pause: RetryBackoff) {
    private val budget = AtomicReference(RetryBudget())

    /** A call was sent for the first time. */
    public fun firstAttempt() {
        budget.updateAndGet { it.firstAttempt() }
    }

    /** What to do after [attempt] failed; a granted retry is taken from the budget. */
    public fun decide(attempt: FailedAttempt): RetryDecision {
        while (true) {
            val before = budget.get()
            val decision = policy.decide(attempt, before)
            val taken = decision !is RetryDecision.Retry || budget.compareAndSet(before, decision.budget)
            if (taken) return decision
        }
    }

    /** When a caller may come back whose call the budget does not cover. */
    public fun refusedFor(): Duration = pause.delayAfter(FAILURES_OF_A_CALL)

    /**
     * When accepted work that may run twice is tried again after [attempt] failed: after the pause of a retry if the
     * budget grants one, otherwise later.
     */
    public fun repeatAfter(attempt: FailedAttempt): Duration {
        val decision = decide(attempt)
        return if (decision is RetryDecision.Retry) decision.delay else pause.delayAfter(attempt.attempts)
    }

    private companion object {
        /** A call that is given up waits as long as work that failed this often: one to two seconds. */
        const val FAILURES_OF_A_CALL = 3
    }
}
