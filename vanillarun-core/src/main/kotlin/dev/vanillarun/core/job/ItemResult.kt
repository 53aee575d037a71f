package dev.vanillarun.core.job

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How an item ended. */
@Serializable
public enum class ItemState {
    /** Its whole text was generated and scored. */
    @SerialName("completed")
    COMPLETED,

    /** It was given up. */
    @SerialName("aborted")
    ABORTED,
}

/** What is listed of an item that has ended. */
@Serializable
public data class ItemResult(
    /** Item. */
    public val item: ItemId,
    /** How it ended. */
    public val state: ItemState,
    /** Data of all events in order, separated by line feeds. */
    public val text: String = "",
    /** Weight versions that generated an event of the text, ascending. */
    public val versions: List<Long> = emptyList(),
    /** Signature of the answer of the reward call. */
    public val score: String? = null,
)
