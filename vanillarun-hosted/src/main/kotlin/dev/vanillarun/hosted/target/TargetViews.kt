package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.routing.LoadReport
import dev.vanillarun.core.routing.TargetStats
import dev.vanillarun.core.routing.TargetView
import kotlin.time.DurationUnit

/**
 * Describes [replica] for target selection. [inFlight] requests of this instance with [work] tokens each count as in
 * flight, out of [slots]; [connected] says whether this instance has an open connection to it.
 */
internal fun TargetTracker.view(
    replica: Replica,
    connected: Boolean = true,
    inFlight: Int = of(replica).running,
    work: Long = 1,
    slots: Int = replica.slots,
): TargetView {
    val known = of(replica)
    val stats = TargetStats(
        inFlight = inFlight,
        outstandingWork = inFlight * work,
        secondsPerToken = known.meanLatency?.toDouble(DurationUnit.SECONDS) ?: 0.0,
        report = known.report(),
        observedAt = known.latencyObservedAt,
    )
    return TargetView(replica.id, replica.dataCentre, slots, stats, connected = connected)
}

/** The latest load report; null if there is none. */
internal fun TargetObservations.report(): LoadReport? {
    val reported = load ?: return null
    return loadReportedAt?.let { LoadReport(reported.running, reported.waiting, it, reported.slowdown) }
}
