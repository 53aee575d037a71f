package dev.vanillarun.core.job

import dev.vanillarun.core.id.CustomerId
import kotlinx.serialization.Serializable

/** Identity of a batch job, chosen by its submitter. */
@Serializable
@JvmInline
public value class JobId(
    /** The identity. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identity of an item; unique over all jobs, and kept when its group returns in a later job. */
@Serializable
@JvmInline
public value class ItemId(
    /** The identity. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** A batch job: many samples that are asked for at once and run later. */
@Serializable
public data class Job(
    /** Identity. */
    public val id: JobId,
    /** Customer that submitted it; null on an open route. */
    public val customer: CustomerId?,
    /** Host that the submitter named. */
    public val host: String,
    /** Path that it was submitted to. */
    public val path: String,
    /** Moment of the submission, Unix milliseconds. */
    public val submittedAt: Long,
    /** Model whose samples are asked for; empty for a job that belongs to no trainer. */
    public val model: String = "",
    /** Oldest weight version that may generate an event. */
    public val minVersion: Long = 0,
    /** Whole groups that the trainer waits for. */
    public val desiredGroups: Int = 0,
    /** Items, in the submitter's order. */
    public val items: List<JobItem> = emptyList(),
)

/** One sample that a job asks for. */
@Serializable
public data class JobItem(
    /** Identity. */
    public val id: ItemId,
    /** Path at the target. */
    public val path: String,
    /** Headers for the target. */
    public val headers: Map<String, String> = emptyMap(),
    /** Body for the target, Base64. */
    public val body: String = "",
    /** Group; its items share their prompt and count together. */
    public val group: String = "",
    /** Prompt tokens and greatest number of generated tokens together. */
    public val tokens: Long = 0,
    /** Expected number of generated tokens, if the submitter gave one. */
    public val expectedTokens: Long? = null,
    /** Call whose answer is the sample's reward. */
    public val reward: RewardCall? = null,
)

/** Call to a plain service that scores a sample. */
@Serializable
public data class RewardCall(
    /** Identity of the request. */
    public val id: String,
    /** Host of the route. */
    public val host: String,
    /** Path. */
    public val path: String,
    /** Body, Base64. */
    public val body: String = "",
)
