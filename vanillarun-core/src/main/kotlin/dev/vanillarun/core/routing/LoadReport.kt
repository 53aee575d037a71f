package dev.vanillarun.core.routing

import dev.vanillarun.core.time.Instant
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Load of a target as reported by the target itself. Reports lag or stay away, so they are only one of the inputs. */
public data class LoadReport(
    /** Number of requests that the target runs, from all instances. */
    public val running: Int,
    /** Number of requests queued on the target. */
    public val waiting: Int = 0,
    /** Time of measurement on this process's clock: arrival time minus the age that the target reported. */
    public val takenAt: Instant,
    /** Factor by which work took longer on the target's machine, one is usual; null if it was not reported. */
    public val slowdown: Double? = null,
) {
    /** Number of requests in flight on the target, running or queued. */
    public val total: Int get() = running + waiting

    /** Expected [slowdown] at [now]: its distance from the usual one decays with the age of the report. */
    public fun slowdownAt(now: Instant, decay: Duration = SLOWDOWN_DECAY_TIME): Double {
        val reported = slowdown ?: return 1.0
        if (reported == 1.0) return 1.0
        val age = (now.nanos - takenAt.nanos).coerceAtLeast(0)
        return 1 + (reported - 1) * exp(-age.toDouble() / decay.inWholeNanoseconds)
    }

    /** Decay of reports. */
    public companion object {
        /** Age at which the distance of a reported slowdown from the usual one has decayed to 1/e. */
        public val SLOWDOWN_DECAY_TIME: Duration = 300.milliseconds
    }
}
