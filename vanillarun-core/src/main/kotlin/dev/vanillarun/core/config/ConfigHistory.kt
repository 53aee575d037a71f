package dev.vanillarun.core.config

import dev.vanillarun.core.log.ConfigRevision
import dev.vanillarun.core.log.DecodedRecord
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.applyRecord
import dev.vanillarun.core.log.start

/** Decision on a publication in the log. */
public enum class PublicationVerdict {
    /** The publication came into force. */
    ACCEPTED,

    /** Another publication with the same base came first, so this one never had an effect. */
    CONFLICT,

    /** The records that decide it are no longer retained in the log. */
    UNKNOWN,
}

/** One publication retained in the log. */
public data class HistoryEntry(
    /** Offset of the publication in the log. */
    public val offset: Offset,
    /** Content, author and message of the publication. */
    public val publication: ConfigRevision,
    /** Whether it came into force. */
    public val verdict: PublicationVerdict,
)

/** Derives the history of the configuration from the log. */
public object ConfigHistory {
    /** Publications among [records], which must be all retained records of the stream from [from] on. */
    public fun of(records: List<StoredRecord>, from: Offset): List<HistoryEntry> {
        val start = if (from == Offset.Start) ConfigReducer.start() else LogView(ConfigReducer.begin(from), from)
        val entries = mutableListOf<HistoryEntry>()
        records.fold(start) { view, record ->
            val next = ConfigReducer.applyRecord(view, record)
            entry(record, view.state, next.state)?.let(entries::add)
            next
        }
        return entries
    }

    private fun entry(record: StoredRecord, before: ConfigState, after: ConfigState): HistoryEntry? {
        val decoded = RecordCodec.decode(record.payload) as? DecodedRecord.Known
        val publication = decoded?.envelope?.body as? ConfigRevision ?: return null
        val verdict = when {
            !before.hasBase -> PublicationVerdict.UNKNOWN
            after.base == record.offset -> PublicationVerdict.ACCEPTED
            else -> PublicationVerdict.CONFLICT
        }
        return HistoryEntry(record.offset, publication, verdict)
    }
}
