package dev.vanillarun.standin.platform

import kotlinx.serialization.Serializable

/** A record that is to be appended. */
@Serializable
public data class LogEntry(
    /** Stream of the record. */
    public val stream: String,
    /** Opaque content. */
    public val payload: String,
)

/** A record with its position. */
@Serializable
public data class PlacedEntry(
    /** Position, shared by all streams. */
    public val offset: Long,
    /** Stream of the record. */
    public val stream: String,
    /** Opaque content. */
    public val payload: String,
)

/** How long records are kept; zero means without end. */
public data class Retention(
    /** Number of records. */
    public val count: Int = 0,
    /** Age in milliseconds. */
    public val ageMs: Long = 0,
)

/** Outcome of a read. */
public sealed interface LogPage {
    /** Records of the asked streams. */
    @Serializable
    public data class Records(
        /** Records in order. */
        public val records: List<PlacedEntry>,
        /** Position to go on from. */
        public val next: Long,
        /** Earliest position that is kept. */
        public val firstRetained: Long,
        /** Position after the last record. */
        public val end: Long,
    ) : LogPage

    /** The asked position is no longer kept. */
    @Serializable
    public data class Gone(
        /** Earliest position that is kept. */
        public val firstRetained: Long,
    ) : LogPage
}

/** The platform's log: offsets shared by all streams, records kept for a limited time. Not safe for concurrent use. */
public class LogStore(private val retention: Retention = Retention()) {
    private class Kept(val entry: PlacedEntry, val appendedMs: Long)

    private val kept = ArrayDeque<Kept>()

    /** Position after the last record. */
    public var end: Long = 0
        private set

    /** Earliest position that is kept. */
    public val firstRetained: Long get() = end - kept.size

    /** Appends [entries] as one batch at [nowMs] and returns the position of the first. */
    public fun append(entries: List<LogEntry>, nowMs: Long): Long {
        val first = end
        entries.forEach { kept.addLast(Kept(PlacedEntry(end++, it.stream, it.payload), nowMs)) }
        expire(nowMs)
        return first
    }

    /** Reads at most [limit] records of [streams], all if null, from [from] on. */
    public fun read(from: Long, streams: Set<String>?, limit: Int, nowMs: Long): LogPage {
        expire(nowMs)
        if (from < firstRetained) return LogPage.Gone(firstRetained)
        val start = (from - firstRetained).coerceAtMost(kept.size.toLong()).toInt()
        val found = ArrayList<PlacedEntry>()
        var at = start
        while (at < kept.size && found.size < limit) {
            val entry = kept[at++].entry
            if (streams == null || entry.stream in streams) found.add(entry)
        }
        return LogPage.Records(found, next = maxOf(from, firstRetained + at), firstRetained, end)
    }

    private fun expire(nowMs: Long) {
        if (retention.count > 0) while (kept.size > retention.count) kept.removeFirst()
        if (retention.ageMs >
            0
        ) {
            while (kept.isNotEmpty() && kept.first().appendedMs <= nowMs - retention.ageMs) kept.removeFirst()
        }
    }
}
