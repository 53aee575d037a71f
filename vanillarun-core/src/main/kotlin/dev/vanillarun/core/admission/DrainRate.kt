package dev.vanillarun.core.admission

import dev.vanillarun.core.time.Instant
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Exponentially decaying average, over about [WINDOW], of the rate at which work is completed. Immutable. */
internal data class DrainRate(
    private val lastUpdate: Instant? = null,
    private val observedSeconds: Double = 0.0,
    private val work: Double = 0.0,
) {
    /** The rate, or zero while less than [MIN_OBSERVED_SECONDS] have been observed. */
    val tokensPerSecond: Double get() = if (observedSeconds < MIN_OBSERVED_SECONDS) 0.0 else work / observedSeconds

    /** This rate after [amount] tokens of work were completed at [now]. */
    fun plusCompleted(amount: Long, now: Instant): DrainRate {
        if (lastUpdate == null) return copy(lastUpdate = now)
        val elapsed = (now - lastUpdate).coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
        val decay = exp(-elapsed / WINDOW.toDouble(DurationUnit.SECONDS))
        return DrainRate(now, observedSeconds * decay + elapsed, work * decay + amount)
    }

    /** Time to complete [amount] tokens, at most [MAX_ESTIMATE_SECONDS]; zero while the rate is unknown. */
    fun timeFor(amount: Double): Duration {
        val rate = tokensPerSecond
        return if (rate <= 0.0) Duration.ZERO else (amount / rate).coerceAtMost(MAX_ESTIMATE_SECONDS).seconds
    }

    private companion object {
        val WINDOW = 5.seconds

        /** Below this much observed time the average is too noisy to be used. */
        const val MIN_OBSERVED_SECONDS = 0.2

        /** Upper bound of an estimate, in seconds; a rate near zero would give an unusable one. */
        const val MAX_ESTIMATE_SECONDS = 3600.0
    }
}
