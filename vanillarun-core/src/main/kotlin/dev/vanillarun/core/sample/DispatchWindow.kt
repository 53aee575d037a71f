package dev.vanillarun.core.sample

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/**
 * How many tries of a step may be under way: grows by one for each completed window, halves when no target had room.
 *
 * ```
 * DispatchWindow(size = 64).refused(now, retryAfter = 1.seconds).size // 32
 * ```
 */
public data class DispatchWindow(
    /** Tries that may be under way. */
    public val size: Int,
    /** Smallest size. */
    public val floor: Int = 4,
    /** Greatest size. */
    public val ceiling: Int = 4_096,
    /** No try is started before this. */
    public val pausedUntil: Instant? = null,
    private val completedSinceGrowth: Int = 0,
) {
    /** A try completed. */
    public fun attemptCompleted(): DispatchWindow = if (completedSinceGrowth + 1 < size / GROWTH_DIVISOR) {
        copy(completedSinceGrowth = completedSinceGrowth + 1)
    } else {
        copy(size = minOf(size + 1, ceiling), completedSinceGrowth = 0)
    }

    /** A try found no room; nothing is started for [retryAfter]. Refusals during the pause count once. */
    public fun attemptRejected(now: Instant, retryAfter: Duration): DispatchWindow {
        val paused = pausedUntil
        if (paused != null && now < paused) return this
        return copy(size = maxOf(size / 2, floor), pausedUntil = now + retryAfter, completedSinceGrowth = 0)
    }

    /** Tries that may start at [now] while [running] are under way. */
    public fun availableAttempts(running: Int, now: Instant): Int {
        val paused = pausedUntil
        if (paused != null && now < paused) return 0
        return maxOf(0, size - running)
    }

    private companion object {
        const val GROWTH_DIVISOR = 8
    }
}
