package dev.vanillarun.core.catalog

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.zone.DataCentre

/** A target as it announces itself. */
public data class Replica(
    /** Identity; a restart may keep it. */
    public val id: TargetId,
    /** Service that it belongs to. */
    public val service: String,
    /** Address, `host:port`. */
    public val address: String,
    /** Data centre that it stands in. */
    public val dataCentre: DataCentre,
    /** Requests that it runs at a time. */
    public val slots: Int,
    /** True if it is about to leave and gets no new work. */
    public val leaving: Boolean = false,
    /** Weight version of each model that it holds. */
    public val weights: Map<String, WeightVersion> = emptyMap(),
    /** Start of the process, Unix milliseconds; tells two runs under one identity apart. */
    public val startedAt: Long = 0,
    /** True if the platform may take it away at any time, at short notice. */
    public val reclaimable: Boolean = false,
)
