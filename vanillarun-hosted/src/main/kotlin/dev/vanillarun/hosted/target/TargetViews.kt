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
    val load = known.load
    val reportedAt = known.loadReportedAt
    val report = if (load == null || reportedAt == null) null else LoadReport(load.running, load.waiting, reportedAt)
    val stats = TargetStats(
        inFlight = inFlight,
        outstandingWork = inFlight * work,
        secondsPerToken = known.meanLatency?.toDouble(DurationUnit.SECONDS) ?: 0.0,
        report = report,
    )
    return TargetView(replica.id, replica.dataCentre, slots, stats, connected = connected)
}
