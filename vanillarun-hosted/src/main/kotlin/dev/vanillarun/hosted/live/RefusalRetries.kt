package dev.vanillarun.hosted.live

import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.retry.FailedAttempt
import dev.vanillarun.core.retry.GiveUpReason
import dev.vanillarun.core.retry.RetryBudget
import dev.vanillarun.core.retry.RetryDecision
import dev.vanillarun.core.retry.RetryPolicy
import dev.vanillarun.core.time.Instant
import dev.vanillarun.hosted.target.ExchangeKind
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Limits how often requests that targets refused are sent to further targets, by a budget for each kind of exchange, so
 * that a shortage of room does not multiply the requests that cause it.
 */
internal class RefusalRetries(random: Random, maxSends: Int) {
    private class Budget(val state: AtomicReference<RetryBudget> = AtomicReference(RetryBudget())) {
        @Volatile
        var withheld = 0L
    }

    /** Another target has a queue of its own, so the retry need not wait. */
    private val policy = RetryPolicy(random, maxAttempts = maxSends, baseDelay = Duration.ZERO)
    private val budgets = ConcurrentHashMap<ExchangeKind, Budget>()

    /** Requests that were not sent to a further target because the budget was spent, by kind. */
    val withheld: Map<String, Long> get() = budgets.entries.associate { (kind, budget) ->
        kind.label to budget.withheld
    }

    /** Counts the first attempt of [request]. */
    fun firstAttempt(request: LiveRequest) {
        of(request).state.updateAndGet { it.firstAttempt() }
    }

    /**
     * Takes one retry for [request], which was sent to [sends] targets; false if it must not be sent again. A spent
     * budget withholds nothing if [hasRoom], that is, if another target is known to have room.
     */
    fun permits(request: LiveRequest, sends: Int, now: Instant, hasRoom: () -> Boolean): Boolean {
        val budget = of(request)
        val attempt = FailedAttempt(
            execution = Execution.NOT_RUN,
            idempotent = request.repeatable,
            attempts = sends,
            targetsLeft = 1, // the chooser finds out
            timeLeft = request.deadline - now,
        )
        while (true) {
            val before = budget.state.get()
            when (val decision = policy.decide(attempt, before)) {
                is RetryDecision.Retry -> if (budget.state.compareAndSet(before, decision.budget)) return true

                is RetryDecision.GiveUp -> {
                    if (decision.reason != GiveUpReason.BUDGET) return false
                    if (hasRoom()) return true
                    synchronized(budget) { budget.withheld++ }
                    return false
                }
            }
        }
    }

    private fun of(request: LiveRequest): Budget = budgets.computeIfAbsent(request.kind) { Budget() }
}
