package dev.vanillarun.core.admission

import kotlin.time.Duration

/**
 * Moving mean and mean deviation of the time from dispatch to response, with the gains that TCP uses for round-trip
 * times (RFC 6298). Immutable.
 */
internal data class ServiceTime(
    private val mean: Duration = Duration.ZERO,
    private val deviation: Duration = Duration.ZERO,
) {
    /** Mean plus [DEVIATIONS] deviations, which few requests exceed; zero before the first sample. */
    val upperEstimate: Duration get() = mean + deviation * DEVIATIONS

    /** This estimate after one more request that took [elapsed]. */
    fun plusSample(elapsed: Duration): ServiceTime {
        if (mean == Duration.ZERO) return ServiceTime(elapsed, elapsed / 2)
        val error = elapsed - mean
        return ServiceTime(mean + error * MEAN_GAIN, deviation + (error.absoluteValue - deviation) * DEVIATION_GAIN)
    }

    private companion object {
        const val DEVIATIONS = 2.0
        const val MEAN_GAIN = 0.125
        const val DEVIATION_GAIN = 0.25
    }
}
