package dev.vanillarun.core.sample

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** A group of samples that share one prompt. */
@Serializable
public data class GroupSpec(
    /** Identity of the group, unique in its step. */
    public val id: String,
    /** Prompt from which every sample of the group is generated. */
    public val prompt: String,
    /** Number of samples to generate. */
    public val samples: Int,
    /** Greatest number of tokens to generate for a sample. */
    @SerialName("max_tokens")
    public val maxTokens: Int = 256,
    /** Base of the random seeds: a sample's seed is this plus its index in the group. */
    public val seed: Long = 0,
)

/** A step of rollouts as a trainer submits it. The ordinal of a sample follows the order of groups, then its index. */
@Serializable
public data class StepSpec(
    /** Name of the trainer, unique within its customer. */
    public val trainer: String,
    /** Number of the step, unique within the trainer. */
    public val step: Long,
    /** Name of the model, which must have a model route. */
    public val model: String,
    /** Trainer's weight version at submission. */
    public val version: Long,
    /** Greatest number of versions that a sample may lag behind the trainer at delivery. */
    @SerialName("max_version_lag")
    public val maxVersionLag: Long = 1,
    /** Deadline of the whole step, in milliseconds from its submission. */
    @SerialName("deadline_ms")
    public val deadlineMs: Long = DEFAULT_DEADLINE_MS,
    /** Groups of the step; their order defines the ordinals of the samples. */
    public val groups: List<GroupSpec>,
) {
    /** Number of samples over all groups. */
    public val size: Int get() = groups.sumOf(GroupSpec::samples)

    /** Identities of all samples, in the order of their ordinals. */
    public fun sampleIds(): List<SampleId> =
        groups.flatMap { group -> List(group.samples) { SampleId(group = group.id, index = it) } }

    /**
     * Prefix of a SHA-256 hash, in hexadecimal, over all that defines the ordinals in a cursor: trainer, step, and the
     * groups in their order with their sample counts.
     */
    public fun fingerprint(): String {
        val text = groups.joinToString(separator = "\n", prefix = "$trainer/$step\n") { "${it.id}=${it.samples}" }
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES)
    }

    /** Limits and defaults of a step. */
    public companion object {
        /** Deadline if the trainer sets none: five minutes, in milliseconds. */
        public const val DEFAULT_DEADLINE_MS: Long = 300_000

        /** Greatest number of samples over all groups of a step. */
        public const val MAX_SAMPLES: Int = 65_536

        private const val FINGERPRINT_BYTES = 8
    }
}

/** Identity of a sample inside its step. */
@Serializable
public data class SampleId(
    /** Identity of the group, see [GroupSpec.id]. */
    public val group: String,
    /** Zero-based index of the sample in the group. */
    public val index: Int,
)
