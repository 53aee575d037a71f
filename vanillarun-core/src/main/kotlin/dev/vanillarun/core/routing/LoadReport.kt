package dev.vanillarun.core.routing

import dev.vanillarun.core.time.Instant

/** Load of a target as reported by the target itself. Reports lag or stay away, so they are only one of the inputs. */
public data class LoadReport(
    /** Number of requests that the target runs, from all instances. */
    public val running: Int,
    /** Number of requests queued on the target. */
    public val waiting: Int = 0,
    /** Time of measurement on this process's clock: arrival time minus the age that the target reported. */
    public val takenAt: Instant,
) {
    /** Number of requests in flight on the target, running or queued. */
    public val total: Int get() = running + waiting
}
