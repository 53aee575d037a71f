package dev.vanillarun.daemon.agreement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Exponential backoff with full jitter, so that instances that failed together do not come back together. */
public class Backoff(
    private val initial: Duration = 200.milliseconds,
    private val ceiling: Duration = 5.seconds,
    private val random: Random = Random.Default,
) {
    /** Pause before try number [attempt], counted from zero. */
    public fun delayAfter(attempt: Int): Duration {
        val widest = minOf(initial * (1 shl attempt.coerceIn(0, MAX_DOUBLINGS)), ceiling)
        return widest * random.nextDouble(from = LEAST_PART, until = 1.0)
    }

    private companion object {
        const val MAX_DOUBLINGS = 16
        const val LEAST_PART = 0.1
    }
}
