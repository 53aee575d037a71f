package dev.vanillarun.core.platform

import dev.vanillarun.core.id.WeightVersion

/** Weight versions that the store retains. */
public data class WeightVersions(
    /** Newest version; null if none has been published. */
    public val newest: WeightVersion?,
    /** All retained versions, in ascending order. */
    public val kept: List<WeightVersion>,
)

/** Client of the platform's rate-limited weight store. */
public fun interface WeightStore {
    /** Lists the retained versions. */
    public suspend fun versions(): PlatformResult<WeightVersions>
}
