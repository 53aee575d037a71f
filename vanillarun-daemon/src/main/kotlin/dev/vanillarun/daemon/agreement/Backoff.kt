package dev.vanillarun.daemon.agreement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exponential backoff with jitter, so that instances that failed at the same time do not retry at the same time. */
public class Backoff(
    private val initial: Duration = 200.milliseconds,
    private val maxDelay: Duration = 5.seconds,
    private val random: Random = Random.Default,
) {
    /** Returns the delay after failed attempt [attempt], counted from zero: 10% to 100% of the exponential bound. */
    public fun delayAfter(attempt: Int): Duration {
        val bound = minOf(initial * (1 shl attempt.coerceIn(0, MAX_DOUBLINGS)), maxDelay)
        return bound * random.nextDouble(from = MIN_DELAY_RATIO, until = 1.0)
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
        const val MIN_DELAY_RATIO = 0.1
    }
}
