package dev.vanillarun.core.sample

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/**
 * Limit on attempts in flight, by additive increase and multiplicative decrease: it grows by one for every
 * `size / growthDivisor` completed attempts and halves when no target has capacity.
 *
 * ```
 * DispatchWindow(size = 64).refused(now, retryAfter = 1.seconds).size // 32
 * ```
 */
public data class DispatchWindow(
    /** Greatest number of attempts in flight. */
    public val size: Int,
    /** Lower limit of [size]. */
    public val minSize: Int = 4,
    /** Upper limit of [size]. */
    public val maxSize: Int = 4_096,
    /** Time before which no attempt is started, null if none was rejected so far. */
    public val backoffUntil: Instant? = null,
    /** Fraction of [size] that has to complete for a growth by one; above zero. */
    public val growthDivisor: Int = 8,
    private val completedSinceGrowth: Int = 0,
) {
    /** Window after an attempt completed with a sample. */
    public fun attemptCompleted(): DispatchWindow = if (completedSinceGrowth + 1 < size / growthDivisor) {
        copy(completedSinceGrowth = completedSinceGrowth + 1)
    } else {
        copy(size = minOf(size + 1, maxSize), completedSinceGrowth = 0)
    }

    /**
     * Window after an attempt found no target with capacity: half the size, or half of the [running] attempts if these
     * are fewer, and no attempt is started for [retryAfter]. Further rejections during that backoff change nothing.
     */
    public fun attemptRejected(now: Instant, retryAfter: Duration, running: Int = size): DispatchWindow {
        val backoffEnd = backoffUntil
        if (backoffEnd != null && now < backoffEnd) return this
        return copy(
            size = maxOf(minOf(size, running) / 2, minSize),
            backoffUntil = now + retryAfter,
            completedSinceGrowth = 0,
        )
    }

    /** Number of attempts that may start at [now] while [running] are in flight; zero during a backoff. */
    public fun availableAttempts(running: Int, now: Instant): Int {
        val backoffEnd = backoffUntil
        if (backoffEnd != null && now < backoffEnd) return 0
        return maxOf(0, size - running)
    }
}
