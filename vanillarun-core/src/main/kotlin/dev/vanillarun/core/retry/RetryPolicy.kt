package dev.vanillarun.core.retry

import dev.vanillarun.core.outcome.Execution
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Why a failed attempt is not repeated. */
public enum class GiveUpReason {
    /** The attempt may have run, and the request is not idempotent. */
    NOT_REPEATABLE,

    /** Every eligible target has already been attempted. */
    NO_TARGET_LEFT,

    /** The next attempt is not expected to finish before the deadline. */
    DEADLINE,

    /** The retry budget is exhausted. Accepted work may retry later, since first attempts refill the budget. */
    BUDGET,

    /** The maximum number of attempts has been made. */
    ATTEMPTS,
}

/** Decision about a failed attempt. */
public sealed interface RetryDecision {
    /** Retry on another target after [delay]. */
    public data class Retry(
        /** Backoff before the next attempt. */
        public val delay: Duration,
        /** Budget after the retry has been deducted. */
        public val budget: RetryBudget,
    ) : RetryDecision

    /** Do not retry; return the failure to the caller. */
    public data class GiveUp(
        /** Condition that prevents the retry. */
        public val reason: GiveUpReason,
    ) : RetryDecision
}

/** Properties of a failed attempt that determine whether it is retried. */
public data class FailedAttempt(
    /** Whether the target ran the attempt, did not run it, or may have run it. */
    public val execution: Execution,
    /** True if the request may run more than once. */
    public val idempotent: Boolean,
    /** Number of attempts so far, including this one; at least one. */
    public val attempts: Int,
    /** Number of eligible targets that the request has not been sent to. */
    public val targetsLeft: Int,
    /** Time until the deadline; null if the request has none. */
    public val timeLeft: Duration? = null,
    /** Expected duration of another attempt; zero if unknown. */
    public val expectedDuration: Duration = Duration.ZERO,
)

/** Allows retries of repeatable requests within budget and deadline, with exponential backoff and full jitter. */
public class RetryPolicy(
    private val random: Random,
    private val maxAttempts: Int = 4,
    private val baseDelay: Duration = 25.milliseconds,
    private val maxDelay: Duration = 1.seconds,
) {
    /** Decides whether to retry after [attempt] failed, given the current [budget]. */
    public fun decide(attempt: FailedAttempt, budget: RetryBudget): RetryDecision {
        val delay = backoff(attempt.attempts)
        val tooLate = attempt.timeLeft != null && delay + attempt.expectedDuration >= attempt.timeLeft
        val giveUpReason =
            when {
                attempt.execution != Execution.NOT_RUN && !attempt.idempotent -> GiveUpReason.NOT_REPEATABLE
                attempt.attempts >= maxAttempts -> GiveUpReason.ATTEMPTS
                attempt.targetsLeft <= 0 -> GiveUpReason.NO_TARGET_LEFT
                tooLate -> GiveUpReason.DEADLINE
                else -> null
            }
        if (giveUpReason != null) return RetryDecision.GiveUp(giveUpReason)
        val remaining = budget.spend() ?: return RetryDecision.GiveUp(GiveUpReason.BUDGET)
        return RetryDecision.Retry(delay, remaining)
    }

    /** Delay before attempt number [attempts] + 1: uniform between zero and a bound that doubles with each attempt. */
    private fun backoff(attempts: Int): Duration {
        val bound = (baseDelay * (1 shl (attempts - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(maxDelay)
        return bound * random.nextDouble()
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
