package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.Transcript

/**
 * Progress by item, in the order in which the items were first due, with the memory that their texts take. Texts may
 * take up to [textLimit] bytes; above that, those which exceed an equal share may not grow. Confined to the thread of
 * the [JobRunner].
 */
internal class ProgressTable(private val textLimit: Long = Runtime.getRuntime().maxMemory() / TEXTS_OF_HEAP) {
    private val entries = LinkedHashMap<ItemId, ItemProgress>()
    private var texts = 0

    /** Estimate of the bytes of heap that all texts take. */
    @Volatile
    var textBytes = 0L
        private set

    /** Items that have progress. */
    val keys: Set<ItemId> get() = entries.keys

    /** Number of items that have progress. */
    val size: Int get() = entries.size

    /** True while texts that are not needed have to make room for others. */
    val isCrowded: Boolean get() = textBytes > textLimit / 2

    /** True while there is no memory for further texts. */
    val isFull: Boolean get() = textBytes > textLimit

    operator fun contains(item: ItemId): Boolean = item in entries

    operator fun get(item: ItemId): ItemProgress? = entries[item]

    /** Progress of [item], which has some. */
    fun getValue(item: ItemId): ItemProgress = entries.getValue(item)

    operator fun set(item: ItemId, progress: ItemProgress) {
        count(entries.put(item, progress), -1)
        count(progress, 1)
    }

    /** Removes the progress of [item]. */
    fun remove(item: ItemId): Unit = count(entries.remove(item), -1)

    /** Sets the text of [item] to [transcript], unless the item has no progress. */
    fun setText(item: ItemId, transcript: Transcript) {
        entries[item]?.let { this[item] = it.copy(transcript = transcript, complete = false) }
    }

    /** False if there is no memory for the text of [item]: all exceed the limit, and this one an equal share of it. */
    fun mayGrow(item: ItemId): Boolean {
        val bytes = entries[item]?.transcript?.heapBytes ?: 0
        return !isFull || bytes * texts <= textLimit
    }

    private fun count(progress: ItemProgress?, sign: Int) {
        val transcript = progress?.transcript?.takeIf { it.lastEventNumber > 0 } ?: return
        texts += sign
        textBytes += sign * transcript.heapBytes
    }

    private val Transcript.heapBytes: Long get() = CHARACTER_BYTES * length + EVENT_BYTES * lastEventNumber

    private companion object {
        /** Fraction of the heap that the texts may take: one in this many bytes. */
        const val TEXTS_OF_HEAP = 4

        /** Memory of a character at most. */
        const val CHARACTER_BYTES = 2L

        /** Memory of an event besides its characters: the headers of a string and its array, and references to it. */
        const val EVENT_BYTES = 64L
    }
}
