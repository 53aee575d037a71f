package dev.vanillarun.core.order

import dev.vanillarun.core.time.Instant
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Exponentially weighted moving average of a demand that is sampled at irregular intervals. Immutable. */
public data class DemandAverage(
    /** Current average, in the unit of the samples. */
    public val value: Double,
    /** Time of the newest sample. */
    public val at: Instant,
) {
    /** Returns the average with [sample] at [now] included. A sample's weight decays to 1/e after [timeConstant]. */
    public fun withSample(sample: Double, now: Instant, timeConstant: Duration = TIME_CONSTANT): DemandAverage {
        val decay = exp(-((now - at) / timeConstant))
        return DemandAverage(decay * value + (1 - decay) * sample, now)
    }

    private companion object {
        val TIME_CONSTANT = 30.seconds
    }
}
