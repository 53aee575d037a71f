package dev.vanillarun.core.sample

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion

/** A generated sample with what is needed to attribute it: weight versions, target and attempt. */
public data class Sample(
    /** Group and index of the sample in its step. */
    public val id: SampleId,
    /** Generated text. */
    public val text: String,
    /** Number of generated tokens, as the engine reported it. */
    public val tokens: Int,
    /** Why generation ended, as the engine reported it, for instance `stop`. */
    public val finishReason: String,
    /** All weight versions that generated tokens of the sample, as the engine reported them; never empty. */
    public val weightVersions: List<WeightVersion>,
    /** Target that generated it. */
    public val target: TargetId,
    /** Number of the attempt that generated it, from one. */
    public val attempt: Int,
) {
    init {
        require(weightVersions.isNotEmpty()) { "a sample without weight versions can't be attributed" }
    }

    /** Oldest weight version in the sample, which decides whether the sample is stale. */
    public val oldestVersion: WeightVersion get() = weightVersions.min()
}

/** Limit on the age of a sample, in weight versions. */
public data class StalenessBound(
    /** Greatest number of versions that a sample may lag behind the trainer. */
    public val maxLag: Long,
) {
    /** Oldest version that is still acceptable while [current] is the trainer's version. */
    public fun oldestAllowed(current: WeightVersion): WeightVersion = WeightVersion(current.number - maxLag)

    /** True if [sample] may be delivered while [current] is the trainer's version. */
    public fun allows(sample: Sample, current: WeightVersion): Boolean = sample.oldestVersion >= oldestAllowed(current)
}
