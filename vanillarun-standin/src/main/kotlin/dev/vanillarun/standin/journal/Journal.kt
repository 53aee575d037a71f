package dev.vanillarun.standin.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A call that took effect. */
@Serializable
public data class JournalEntry(
    /** Number in the journal, from zero. */
    public val seq: Long,
    /** Wall-clock time in milliseconds since the epoch. */
    @SerialName("time_ms")
    public val timeMs: Long,
    /** Operation, as faults name it. */
    public val operation: String,
    /** HTTP method. */
    public val method: String,
    /** Path and query. */
    public val uri: String,
    /** All headers. */
    public val headers: Map<String, List<String>>,
    /** Body. */
    public val body: String,
)

/** The latest calls that took effect at a stand-in, in order; safe for concurrent use. */
public class Journal(private val limit: Int = DEFAULT_LIMIT) {
    private val entries = ArrayDeque<JournalEntry>()
    private var next = 0L

    /** Adds a call; the entry gets the next number, and the oldest entry goes if the journal is full. */
    public fun add(draft: JournalEntry): Unit = synchronized(entries) {
        val seq = next++
        if (limit == 0) return@synchronized
        if (entries.size == limit) entries.removeFirst()
        entries.addLast(draft.copy(seq = seq))
    }

    /** Entries from number [from] on, of [operation] if that is not null. */
    public fun entries(operation: String? = null, from: Long = 0): List<JournalEntry> = synchronized(entries) {
        entries.filter { it.seq >= from && (operation == null || it.operation == operation) }
    }

    /** Constants of journals. */
    public companion object {
        /** Entries that are kept. */
        public const val DEFAULT_LIMIT: Int = 100_000
    }
}
