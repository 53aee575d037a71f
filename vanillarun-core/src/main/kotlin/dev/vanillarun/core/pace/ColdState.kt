package dev.vanillarun.core.pace

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What one instance knows of whether one run of a target is cold. Immutable. */
public data class ColdState(
    /** Time until which the target is cold as far as is known; null if nothing said so. */
    public val coldUntil: Instant? = null,
    /** Time of the latest failure after which nothing has shown the target's state; null if there is none. */
    public val failedAt: Instant? = null,
    /** Time of the latest answer; null before the first. */
    public val answeredAt: Instant? = null,
) {
    /** True if the target is cold at [now], or may be since it failed. */
    public fun isCold(now: Instant): Boolean = failedAt != null || isKnownCold(now)

    /** True if the target is cold at [now] by what it said or by its start. */
    public fun isKnownCold(now: Instant): Boolean = coldUntil?.let { now < it } ?: false

    /** Records that the target is cold until [until]; an earlier time changes nothing. */
    public fun coldUntil(until: Instant): ColdState = copy(coldUntil = maxOf(coldUntil ?: until, until))

    /** Records that the target failed or was unreachable at [now]: it may return cold. */
    public fun failed(now: Instant): ColdState = copy(failedAt = now)

    /**
     * Records an answer at [now] in which the target is cold for [coldFor], null if it does not say. The first answer
     * after a failure is taken for that of a target that has just started, and stays cold for [duration].
     */
    public fun answered(coldFor: Duration?, duration: Duration, now: Instant): ColdState {
        val known = copy(failedAt = null, answeredAt = now)
        return when {
            coldFor != null && coldFor > Duration.ZERO -> known.coldUntil(now + coldFor + Margin)
            failedAt != null && coldFor == null -> known.coldUntil(now + duration + Margin)
            else -> known
        }
    }

    /**
     * Records the latest announcement, read at [at], in which the target is cold for [coldFor]. Says it that the target
     * is warm, a failure is forgotten after [duration], if the announcement cannot be from before the failure.
     */
    public fun announced(coldFor: Duration, at: Instant, duration: Duration, now: Instant): ColdState {
        if (coldFor > Duration.ZERO) return coldUntil(at + coldFor + Margin)
        val failed = failedAt ?: return this
        val isLater = at >= failed + AnnouncementDelay && now >= failed + AnnouncementDelay + duration
        return if (isLater) copy(failedAt = null) else this
    }

    /** Constants of what is known. */
    public companion object {
        /** Added to each time until which a target is cold, for delays and differences of clocks. */
        public val Margin: Duration = 500.milliseconds

        /** Longest time from a change at a target until its announcement was read: heartbeat, read and reserve. */
        public val AnnouncementDelay: Duration = 2000.milliseconds
    }
}
