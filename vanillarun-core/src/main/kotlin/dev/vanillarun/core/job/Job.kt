package dev.vanillarun.core.job

import dev.vanillarun.core.id.CustomerId
import kotlinx.serialization.Serializable

/** Identity of a batch job, chosen by its submitter. */
@Serializable
@JvmInline
public value class JobId(
    /** Text of the identity. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identity of an item, unique across all jobs. An item keeps it when its group returns in a later job. */
@Serializable
@JvmInline
public value class ItemId(
    /** Text of the identity. */
    public val value: String,
) {
    override fun toString(): String = value
}

/** Batch job: a set of samples that are requested together and run asynchronously. */
@Serializable
public data class Job(
    /** Identity that the submitter chose. */
    public val id: JobId,
    /** Customer that submitted the job; null on an open route. */
    public val customer: CustomerId?,
    /** Host name that the submitter sent the job to. */
    public val host: String,
    /** Path that the job was submitted to. */
    public val path: String,
    /** Time of the submission in Unix milliseconds. */
    public val submittedAt: Long,
    /** Model that generates the samples; empty for a job that belongs to no trainer. */
    public val model: String = "",
    /** Lowest weight version that may generate an event of a sample. */
    public val minVersion: Long = 0,
    /** Number of complete groups that the trainer needs; 0 means all groups. */
    public val desiredGroups: Int = 0,
    /** Items in the order of the submission; empty while they are not [loaded]. */
    public val items: List<JobItem> = emptyList(),
    /** Number of items of the submission. */
    public val itemCount: Int = items.size,
) {
    /** True if [items] has all items; false if they have still to be read from their own record. */
    public val loaded: Boolean get() = items.size == itemCount
}

/** One sample that a job requests. */
@Serializable
public data class JobItem(
    /** Identity of the item, unique across all jobs. */
    public val id: ItemId,
    /** Path of the request that is sent to the target. */
    public val path: String,
    /** Headers of the request that is sent to the target. */
    public val headers: Map<String, String> = emptyMap(),
    /** Body of the request that is sent to the target, in Base64. */
    public val body: String = "",
    /** Group of the item. The items of a group share a prompt, and a group counts only when it is complete. */
    public val group: String = "",
    /** Upper bound of the tokens of the item: prompt tokens plus the maximum number of generated tokens. */
    public val tokens: Long = 0,
    /** Number of generated tokens that the submitter expects; null if it gave no estimate. */
    public val expectedTokens: Long? = null,
    /** Call whose response is the reward of the sample; null if the sample is not scored. */
    public val reward: RewardCall? = null,
    /** Number of tokens of the prompt; zero if the submitter did not give it. */
    public val promptTokens: Long = 0,
)

/** Call to a service target that scores a sample. */
@Serializable
public data class RewardCall(
    /** Identity of the reward request. */
    public val id: String,
    /** Host name that selects the route of the call. */
    public val host: String,
    /** Path of the call. */
    public val path: String,
    /** Body of the call, in Base64. */
    public val body: String = "",
)
