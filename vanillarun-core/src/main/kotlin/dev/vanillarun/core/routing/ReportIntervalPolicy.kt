package dev.vanillarun.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Outcome of polling a target for its load report. */
public enum class ReportOutcome {
    /** The report differs from the previous one, or is the first. */
    CHANGED,

    /** The report equals the previous one. */
    UNCHANGED,

    /** The target did not respond. */
    NO_RESPONSE,
}

/**
 * Determines the interval until a target is polled for its load again.
 *
 * The interval of a target grows exponentially while its reports are unchanged. An instance polls all of its targets
 * together at most [maxReportsPerSecond] times a second, unless that would exceed [maxInterval] for a target. A target
 * that does not respond is polled at [minInterval], so that its loss is detected quickly.
 */
public data class ReportIntervalPolicy(
    /** Interval for targets that do not respond, and for changing targets while the instance polls few of them. */
    public val minInterval: Duration,
    /** Maximum number of polls per second over all targets of one instance. */
    public val maxReportsPerSecond: Int = 4,
    /** Upper limit of the interval; reports lose their weight in target selection over about this time. */
    public val maxInterval: Duration = maxOf(minInterval, 4.seconds),
) {
    /** Returns the interval after [previous] and [outcome] for an instance that polls [targetCount] targets. */
    public fun next(previous: Duration, outcome: ReportOutcome, targetCount: Int): Duration {
        val baseInterval = (1.seconds * targetCount / maxReportsPerSecond).coerceIn(minInterval, maxInterval)
        return when (outcome) {
            ReportOutcome.NO_RESPONSE -> minInterval
            ReportOutcome.CHANGED -> baseInterval
            ReportOutcome.UNCHANGED -> (previous * BACKOFF_FACTOR).coerceIn(baseInterval, maxInterval)
        }
    }

    private companion object {
        const val BACKOFF_FACTOR = 2
    }
}
