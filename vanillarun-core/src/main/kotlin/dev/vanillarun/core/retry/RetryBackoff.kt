package dev.vanillarun.core.retry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Wait of work that the retry budget does not cover, before it may be tried again.
 *
 * The bound doubles with each failure, from [first] to [longest]; the wait is drawn evenly from its upper half, so that
 * work which failed together does not come back together.
 */
public class RetryBackoff(
    private val random: Random,
    private val first: Duration = 500.milliseconds,
    private val longest: Duration = 10.seconds,
) {
    /** Wait after [failures] tries that failed, at least one. */
    public fun delayAfter(failures: Int): Duration {
        val bound = (first * (1 shl (failures - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(longest)
        return bound * (1 + random.nextDouble()) / 2
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
    }
}
