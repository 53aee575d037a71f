package dev.vanillarun.core.checkpoint

import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.Transcript
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Place of a [TextPart] in the store. */
public data class TextPartKey(
    /** Job of the item. */
    public val job: JobId,
    /** Item that the text belongs to. */
    public val item: ItemId,
    /** Runner that received the events. */
    public val runner: RunnerId,
    /** Number of the text, as the runner may have begun the item anew. Parts of two texts never belong together. */
    public val text: Int,
    /** Number of the first event of the part. */
    public val first: Long,
) {
    override fun toString(): String = "${prefix(job)}$item/$runner.$text/${"$first".padStart(EVENT_DIGITS, '0')}"

    /** Text form. */
    public companion object {
        private const val EVENT_DIGITS = 7
        private const val KEY_PARTS = 5

        /** Beginning of the keys of all texts of [job]. */
        public fun prefix(job: JobId): String = "text/$job/"

        /** Parses what [toString] returns; null if [key] has another form. */
        public fun parse(key: String): TextPartKey? {
            val (job, item, writer) = key.split('/').takeIf { it.size == KEY_PARTS }?.drop(1) ?: return null
            val runner = RunnerId.parse(writer.substringBeforeLast('.')) ?: return null
            val text = writer.substringAfterLast('.', "").toIntOrNull() ?: return null
            val first = key.substringAfterLast('/').toLongOrNull() ?: return null
            return TextPartKey(JobId(job), ItemId(item), runner, text, first)
        }
    }
}

/** Consecutive events of the text of an item that is still being generated. */
@Serializable
public data class TextPart(
    /** Data of the events in order. */
    public val events: List<String>,
    /** Weight versions that generated the text so far. */
    public val versions: Set<Long>,
    /** Weight version of the last event. */
    public val currentVersion: Long,
    /** Weight versions that generated the text before its last event; null if that is not known. */
    public val earlierVersions: Set<Long>? = null,
) {
    /** Encodes the part for the store. */
    public fun encode(): ByteArray = Json.encodeToString(serializer(), this).encodeToByteArray()

    /** Decodes parts. */
    public companion object {
        private val json = Json { ignoreUnknownKeys = true }

        /** Decodes [value]; null if it is damaged. */
        public fun decode(value: ByteArray): TextPart? = try {
            json.decodeFromString(serializer(), value.decodeToString())
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
    }
}

/** The longest saved text of an item, and all runners that have saved one. */
public data class SavedText(
    /** Its events from the first one on. */
    public val transcript: Transcript,
    /** Runners that may generate the item; none of them may still do so when another one goes on after [transcript]. */
    public val runners: Set<RunnerId>,
)

/**
 * Returns the longest text of each item in [parts]: consecutive parts of one text of one runner, from event 1 on. One
 * that is too long is not the item's, and counts as empty.
 */
public fun savedTexts(parts: Map<TextPartKey, TextPart>): Map<ItemId, SavedText> =
    parts.entries.groupBy { it.key.item }.mapValues { (_, ofItem) ->
        val texts = ofItem.groupBy {
            it.key.copy(first = 0)
        }.values.map { joined(it.sortedBy { part -> part.key.first }) }
        SavedText(texts.maxBy { it.lastEventNumber }, ofItem.mapTo(HashSet()) { it.key.runner })
    }

private fun joined(parts: List<Map.Entry<TextPartKey, TextPart>>): Transcript {
    var text = emptyList<String>()
    var last: TextPart? = null
    for ((key, part) in parts) {
        val known = key.first.toInt() - 1
        if (known !in 0..text.size) break
        if (known + part.events.size > text.size) {
            text = text.take(known) + part.events
            last = part
        }
    }
    val joined = last?.toTranscript(text)
    return joined?.takeUnless { it.isTooLong } ?: Transcript()
}

/** The text of [events], which end with those of this part. */
private fun TextPart.toTranscript(events: List<String>): Transcript {
    val whole = Transcript(events.toPersistentList(), versions.toPersistentSet(), currentVersion)
    return earlierVersions?.let { whole.copy(earlierVersions = it.toPersistentSet()) } ?: whole
}
