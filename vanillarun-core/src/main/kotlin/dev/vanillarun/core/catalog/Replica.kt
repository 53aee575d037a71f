package dev.vanillarun.core.catalog

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.zone.DataCentre
import kotlin.time.Duration

/** State that a target announces about itself. */
public data class Replica(
    /** Id; may stay the same after a restart, see [startedAt]. */
    public val id: TargetId,
    /** Name of its [CatalogService]. */
    public val service: String,
    /** Network address in the form `host:port`. */
    public val address: String,
    /** Data centre in which it runs. */
    public val dataCentre: DataCentre,
    /** Number of requests that it runs concurrently. */
    public val slots: Int,
    /** True if it is about to stop and must get no new requests. */
    public val leaving: Boolean = false,
    /** Weight version of each loaded model, by model name. */
    public val weights: Map<String, WeightVersion> = emptyMap(),
    /** Process start in Unix milliseconds; distinguishes two processes with the same [id]. */
    public val startedAt: Long = 0,
    /** True if the platform may reclaim it at any time, at short notice. */
    public val reclaimable: Boolean = false,
    /** Time for which the target stays cold after this announcement, see [ColdStart]; zero if it is not cold. */
    public val coldFor: Duration = Duration.ZERO,
)
