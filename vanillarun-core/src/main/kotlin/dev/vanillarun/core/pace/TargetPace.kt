package dev.vanillarun.core.pace

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Number of requests in flight that a target gets which has just started or recovered. Immutable.
 *
 * Starts at one. A round is as many answers as the limit. The limit doubles after a round of answers that were about as
 * fast as usual, and grows by one after a round with a slow one. It halves after a refusal or time-out, and falls to
 * one after a failure; at one, each further refusal doubles the time until the next probe, up to [MaxProbeInterval].
 */
public data class TargetPace(
    /** Requests in flight that the target runs at its full pace. */
    public val slots: Int,
    /** Requests in flight that it may have now; at least one. */
    public val limit: Int = 1,
    private val answers: Int = 0,
    private val isSlowRound: Boolean = false,
    private val refusals: Int = 0,
    /** Time before which it gets no request; null if there is none. */
    public val heldUntil: Instant? = null,
) {
    /** True once the target needs no limit but its slots. */
    public val ended: Boolean get() = limit >= slots

    /** True if the target may get another request at [now] while it has [inFlight] of this instance. */
    public fun allows(inFlight: Int, now: Instant): Boolean =
        ended || (inFlight < limit && (heldUntil == null || now >= heldUntil))

    /** Records an answer; [isSlow] says that it took much longer than is usual at the other targets. */
    public fun answered(isSlow: Boolean): TargetPace {
        val slow = isSlowRound || isSlow
        val isRound = answers + 1 >= limit
        return when {
            !isRound -> copy(answers = answers + 1, isSlowRound = slow, refusals = 0, heldUntil = null)
            slow -> TargetPace(slots, limit + 1)
            else -> TargetPace(slots, limit * 2)
        }
    }

    /** Records a refusal or time-out at [now]. */
    public fun refused(now: Instant): TargetPace = if (limit > 1) TargetPace(slots, limit / 2) else held(now)

    /** Records at [now] that the target could not be reached or broke a request off. */
    public fun failed(now: Instant): TargetPace = held(now)

    private fun held(now: Instant): TargetPace {
        val interval = minOf(ProbeInterval * (1 shl refusals.coerceAtMost(MAX_DOUBLINGS)), MaxProbeInterval)
        return TargetPace(slots, refusals = refusals + 1, heldUntil = now + interval)
    }

    /** Constants of the pace. */
    public companion object {
        /** Time until a target that refused at the lowest pace is tried again; doubled by each further refusal. */
        public val ProbeInterval: Duration = 50.milliseconds

        /** Longest time between probes of a target that refuses. */
        public val MaxProbeInterval: Duration = 1.seconds
        private const val MAX_DOUBLINGS = 5
    }
}
