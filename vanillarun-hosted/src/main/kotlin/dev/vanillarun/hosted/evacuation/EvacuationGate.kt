package dev.vanillarun.hosted.evacuation

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.evacuation.Evacuations
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.hosted.target.GateRefusal
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.TargetGate
import dev.vanillarun.hosted.target.TargetListing
import kotlinx.coroutines.flow.StateFlow
import kotlin.time.Duration.Companion.seconds

/** Withholds all requests from targets in evacuated data centres. */
public class EvacuationGate(
    private val evacuations: StateFlow<Evacuations>,
    private val listing: TargetListing,
    private val clock: MonotonicClock,
) : TargetGate {
    override fun refusal(replica: Replica, request: GatedRequest): GateRefusal? =
        if (evacuations.value.isEvacuated(replica.dataCentre)) Refusal else null

    /**
     * True if [replica] is in a data centre whose evacuation has ended, and has not announced itself since. Its last
     * announcement then says nothing about its state now.
     */
    public fun recentlyReopened(replica: Replica): Boolean {
        val endedAt = evacuations.value.endedAt[replica.dataCentre] ?: return false
        val age = listing.announcementAge(replica.id) ?: return true
        return clock.now() - age < endedAt + ANNOUNCEMENT_DELAY
    }

    private companion object {
        val Refusal = GateRefusal("the data centre of the target is evacuated")

        /** Longest time from when a target writes an announcement until it is read. */
        val ANNOUNCEMENT_DELAY = 1.seconds
    }
}

/** Registers a metric that names the evacuated data centres. */
internal fun DaemonMetrics.registerEvacuations(evacuations: StateFlow<Evacuations>) {
    gauge("vanillarun_data_centre_evacuated", "1 for each evacuated data centre.", "data_centre") {
        evacuations.value.dataCentres.associate { it.name to 1.0 }
    }
}
