package dev.vanillarun.standin.trainer

import dev.vanillarun.standin.engine.TokenText
import kotlinx.serialization.Serializable

/** A sample as the rollout interface delivers it. */
@Serializable
public data class DeliveredSample(
    /** Group. */
    public val group: String,
    /** Index within the group. */
    public val index: Int,
    /** Generated text. */
    public val text: String,
    /** Generated tokens. */
    public val tokens: Int,
    /** Versions that are said to have generated it. */
    public val weightVersions: List<Long>,
)

/** Counts of what was delivered; all but [delivered] must be zero. */
@Serializable
public data class SampleCounts(
    /** Distinct samples. */
    public val delivered: Int = 0,
    /** Samples that came again. */
    public val duplicated: Int = 0,
    /** Samples with a token of a version below the bound at delivery. */
    public val stale: Int = 0,
    /** Samples whose label differs from the versions in their text. */
    public val misattributed: Int = 0,
    /** Samples whose text is not whole, has another number of tokens, or that were not asked for. */
    public val damaged: Int = 0,
)

/** What a trainer holds of one step. Identity of a sample is its group and index. */
public class SampleLedger(private val samplesOfGroup: Map<String, Int>, private val maxVersionLag: Long) {
    private val held = HashSet<Pair<String, Int>>()

    /** Counts so far. */
    public var counts: SampleCounts = SampleCounts()
        private set

    /** Samples that were asked for and have not come. */
    public val missing: Int get() = samplesOfGroup.values.sum() - held.size

    /** Takes in [sample], delivered while the trainer was at [version]. */
    public fun deliver(sample: DeliveredSample, version: Long) {
        if (sample.index !in 0 until (samplesOfGroup[sample.group] ?: 0)) {
            counts = counts.copy(damaged = counts.damaged + 1)
            return
        }
        if (!held.add(sample.group to sample.index)) {
            counts = counts.copy(duplicated = counts.duplicated + 1)
            return
        }
        counts = counts.copy(delivered = counts.delivered + 1)
        check(sample, version)
    }

    private fun check(sample: DeliveredSample, version: Long) {
        val versions = TokenText.versionsOf(sample.text)
        if (versions == null || versions.isEmpty() || versions.size != sample.tokens) {
            counts = counts.copy(damaged = counts.damaged + 1)
            return
        }
        if (versions.min() < version - maxVersionLag) counts = counts.copy(stale = counts.stale + 1)
        if (versions.distinct().sorted() != sample.weightVersions) {
            counts = counts.copy(misattributed = counts.misattributed + 1)
        }
    }
}
