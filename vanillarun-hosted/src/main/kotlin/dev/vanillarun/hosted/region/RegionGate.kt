package dev.vanillarun.hosted.region

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.core.zone.Region
import dev.vanillarun.hosted.target.GateRefusal
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.TargetGate

/** Withholds requests from targets outside their allowed regions; [regionOf] has the region of each data centre. */
public class RegionGate(private val regionOf: Map<DataCentre, Region>) : TargetGate {
    override fun refusal(replica: Replica, request: GatedRequest): GateRefusal? {
        val allowed = request.regions ?: return null
        return if (regionOf[replica.dataCentre] in allowed) null else Refusal
    }

    private companion object {
        val Refusal = GateRefusal("no target is in the allowed regions")
    }
}
