package dev.vanillarun.core.routing

import dev.vanillarun.core.time.Instant
import kotlin.math.max
import kotlin.time.Duration

/** Estimate of the number of requests of all instances in flight at a target. Implementations are stateless. */
public fun interface DepthEstimate {
    /** Returns the estimated number of requests in flight at [view] at [now], at least zero. */
    public fun depth(view: TargetView, now: Instant): Double
}

/** Counts the requests of this instance and those of others by a report whose weight decays with its age. */
public object DecayingReportDepth : DepthEstimate {
    override fun depth(view: TargetView, now: Instant): Double = view.stats.depth(now, view.concurrency)
}

/** Counts the requests in a report younger than [lifetime], but at least those of this instance. */
public class FreshReportDepth(private val lifetime: Duration) : DepthEstimate {
    override fun depth(view: TargetView, now: Instant): Double {
        val report = view.stats.report?.takeIf { now - it.takenAt < lifetime }
        return max(view.stats.inFlight, report?.total ?: 0).toDouble()
    }
}

/** Counts only the requests of this instance. */
public object OwnRequestsDepth : DepthEstimate {
    override fun depth(view: TargetView, now: Instant): Double = view.stats.inFlight.toDouble()
}
