package dev.vanillarun.core.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exponential backoff with jitter for accepted work whose retry the [RetryBudget] does not cover.
 *
 * The upper bound doubles with each failure, from [initialDelay] to [maxDelay]. The delay is drawn uniformly from the
 * upper half of the bound, so that requests that failed together are not retried together.
 */
public class RetryBackoff(
    private val random: Random,
    private val initialDelay: Duration = 500.milliseconds,
    private val maxDelay: Duration = 10.seconds,
) {
    /** Returns the delay after [failures] failed attempts; [failures] is at least one. */
    public fun delayAfter(failures: Int): Duration {
        val bound = (initialDelay * (1 shl (failures - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(maxDelay)
        return bound * (1 + random.nextDouble()) / 2
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
