package dev.vanillarun.core.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What asking a target for its load came to. */
public enum class ReportOutcome {
    /** The report differs from the one before, or is the first. */
    CHANGED,

    /** The report says the same as the one before. */
    UNCHANGED,

    /** The target did not answer. */
    NO_RESPONSE,
}

/**
 * Decides how long to wait before a target is asked for its load again.
 *
 * Reports that say nothing new are asked for ever more rarely. However many targets fall to an instance, all together
 * are asked at most [perSecond] times a second, as long as that leaves none of them for longer than [longest]. A silent
 * target is asked at the shortest interval, so that it is soon known whether it is gone.
 */
public data class ReportIntervalPolicy(
    /** Interval of a target that is silent, or that changes while the instance has few targets to ask. */
    public val minInterval: Duration,
    /** Reports a second for all targets of one instance. */
    public val perSecond: Int = 4,
    /** Greatest interval; reports lose their weight in the selection over about this time. */
    public val longest: Duration = maxOf(minInterval, 4.seconds),
) {
    /** Interval after [news] of a target that was asked after [previous], one of [share] targets of this instance. */
    public fun next(previous: Duration, news: ReportOutcome, share: Int): Duration {
        val fair = (1.seconds * share / perSecond).coerceIn(minInterval, longest)
        return when (news) {
            ReportOutcome.NO_RESPONSE -> minInterval
            ReportOutcome.CHANGED -> fair
            ReportOutcome.UNCHANGED -> (previous * GROWTH).coerceIn(fair, longest)
        }
    }

    private companion object {
        const val GROWTH = 2
    }
}
