package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.Job
import dev.vanillarun.core.zone.Region
import dev.vanillarun.core.zone.allowedRegions
import dev.vanillarun.hosted.catalog.CatalogSource

/** Slots that the instances of one region divide among themselves. */
internal class RegionalSlots(val region: Region, val slots: SlotMembership)

/**
 * Decides which instance runs a job. A job that may be anywhere belongs to the owner of its slot among all instances. A
 * job with allowed regions belongs to the owner of its slot among the instances of the first of them that is in
 * [knownRegions], so that only instances there read its items.
 */
internal class JobOwnership(
    private val catalog: CatalogSource,
    private val slots: SlotMembership,
    private val regional: RegionalSlots? = null,
    private val knownRegions: Set<Region> = emptySet(),
) {
    /** True if this instance runs [job]. */
    fun owns(job: Job): Boolean {
        val route = catalog.catalog.value?.route(job.host, job.path)
        val allowed = allowedRegions(route?.regions.orEmpty(), catalog.regionsOf(job.customer))
            ?: return slots.owns(job.subject)
        val region = allowed.filter { it in knownRegions }.minByOrNull { it.name }
        return regional != null && regional.region == region && regional.slots.owns(job.subject)
    }
}
