package dev.vanillarun.core.config

import dev.vanillarun.core.log.ConfigRevision
import dev.vanillarun.core.log.Decoded
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.start
import dev.vanillarun.core.log.step

/** Verdict on a publication. */
public enum class PublicationVerdict {
    /** It came into force. */
    ACCEPTED,

    /** Another one came first; it never had an effect. */
    CONFLICT,

    /** The log no longer keeps what would tell. */
    UNKNOWN,
}

/** One publication that the log keeps. */
public data class HistoryEntry(
    /** Position. */
    public val offset: Offset,
    /** What was published, by whom and why. */
    public val publication: ConfigRevision,
    /** Whether it came into force. */
    public val verdict: PublicationVerdict,
)

/** Reads the history of the configuration out of the log. */
public object ConfigHistory {
    /** Publications among [records], which hold all that the log keeps of the stream from [from] on. */
    public fun of(records: List<StoredRecord>, from: Offset): List<HistoryEntry> {
        val start = if (from == Offset.Start) ConfigReducer.start() else LogView(ConfigReducer.begin(from), from)
        val entries = mutableListOf<HistoryEntry>()
        records.fold(start) { view, record ->
            val next = ConfigReducer.step(view, record)
            entry(record, view.state, next.state)?.let(entries::add)
            next
        }
        return entries
    }

    private fun entry(record: StoredRecord, before: ConfigState, after: ConfigState): HistoryEntry? {
        val decoded = RecordCodec.decode(record.payload) as? Decoded.Known
        val publication = decoded?.envelope?.body as? ConfigRevision ?: return null
        val verdict = when {
            !before.hasBase -> PublicationVerdict.UNKNOWN
            after.base == record.offset -> PublicationVerdict.ACCEPTED
            else -> PublicationVerdict.CONFLICT
        }
        return HistoryEntry(record.offset, publication, verdict)
    }
}
