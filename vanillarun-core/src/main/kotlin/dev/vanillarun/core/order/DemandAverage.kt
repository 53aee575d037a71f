package dev.vanillarun.core.order

import dev.vanillarun.core.time.Instant
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Mean of a demand that is sampled now and then, older samples counting for less. Immutable. */
public data class DemandAverage(
    /** The mean. */
    public val value: Double,
    /** When the newest sample was taken. */
    public val at: Instant,
) {
    /** Takes in the sample [next] at [now]; a sample of age [span] counts for 1/e. */
    public fun withSample(next: Double, now: Instant, span: Duration = SPAN): DemandAverage {
        val kept = exp(-((now - at) / span))
        return DemandAverage(kept * value + (1 - kept) * next, now)
    }

    private companion object {
        val SPAN = 30.seconds
    }
}
