package dev.vanillarun.core.job

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Final state of an item. */
@Serializable
public enum class ItemState {
    /** The text is complete and, if the item has a reward call, was scored. */
    @SerialName("completed")
    COMPLETED,

    /** The item was aborted and has no text. */
    @SerialName("aborted")
    ABORTED,
}

/** Result of an item in a final state, as it is listed to the submitter of the job. */
@Serializable
public data class ItemResult(
    /** Identity of the item within all jobs. */
    public val item: ItemId,
    /** Whether the item completed or was aborted. */
    public val state: ItemState,
    /** Data of all events in order, separated by line feeds; empty for an aborted item. */
    public val text: String = "",
    /** Weight versions that generated at least one event of [text], in ascending order. */
    public val versions: List<Long> = emptyList(),
    /** Signature of the response to the reward call; null if the item was not scored. */
    public val score: String? = null,
    /** Writer of the [JobRecord.Text] that holds the text; null if [text] holds it or there is none. */
    public val textWriter: String? = null,
)
