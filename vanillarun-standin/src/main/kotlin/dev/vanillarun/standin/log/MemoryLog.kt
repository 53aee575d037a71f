package dev.vanillarun.standin.log

import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What happens to an append. */
public enum class AppendFault {
    /** It is written and answered. */
    NONE,

    /** It is refused, nothing is written. */
    REFUSE,

    /** It is written, its answer is lost. */
    DROP_REPLY,

    /** It is lost, and so is its answer. */
    LOSE,

    /** It is written when [MemoryLog.flushLate] is called; its answer is lost. */
    LATE,
}

/** The platform's log in memory, with faults. */
public class MemoryLog : PlatformLog {
    private data class Content(
        val records: List<StoredRecord> = emptyList(),
        val end: Offset = Offset.Start,
        val firstRetained: Offset = Offset.Start,
        val late: List<List<NewRecord>> = emptyList(),
    )

    private val content = MutableStateFlow(Content())

    /** Chooses the fault of each append. */
    @Volatile
    public var appendFault: (List<NewRecord>) -> AppendFault = { AppendFault.NONE }

    /** True while reads are not answered. */
    @Volatile
    public var readsFail: Boolean = false

    /** All records that are kept. */
    public val records: List<StoredRecord> get() = content.value.records

    /** Position after the last record. */
    public val end: Offset get() = content.value.end

    override suspend fun append(records: List<NewRecord>): AppendResult = when (appendFault(records)) {
        AppendFault.NONE -> AppendResult.Appended(write(records))

        AppendFault.REFUSE -> AppendResult.Refused(reason = "refused", retryAfter = RETRY_AFTER)

        AppendFault.DROP_REPLY -> {
            write(records)
            AppendResult.InDoubt(reason = "answer lost")
        }

        AppendFault.LOSE -> AppendResult.InDoubt(reason = "answer lost")

        AppendFault.LATE -> {
            content.update { it.copy(late = it.late.plusElement(records)) }
            AppendResult.InDoubt(reason = "answer lost")
        }
    }

    override suspend fun read(streams: Set<StreamName>, from: Offset, limit: Int, wait: Duration): ReadResult {
        if (readsFail) return ReadResult.Unavailable(reason = "not answered")
        if (wait > Duration.ZERO) {
            withTimeoutOrNull(wait) { content.first { seen -> readsFail || seen.hasNews(streams, from) } }
        }
        return if (readsFail) ReadResult.Unavailable(reason = "not answered") else page(streams, from, limit)
    }

    /** Writes the appends that were held back by [AppendFault.LATE]. */
    public fun flushLate() {
        val held = content.value.late
        content.update { it.copy(late = emptyList()) }
        held.forEach(::write)
    }

    /** Drops every record before [offset]. */
    public fun truncate(offset: Offset) {
        content.update { old ->
            old.copy(records = old.records.filter { it.offset >= offset }, firstRetained = offset)
        }
    }

    private fun Content.hasNews(streams: Set<StreamName>, from: Offset) =
        from < firstRetained || records.any { it.offset >= from && it.stream in streams }

    private fun page(streams: Set<StreamName>, from: Offset, limit: Int): ReadResult {
        val seen = content.value
        if (from < seen.firstRetained) return ReadResult.Truncated(seen.firstRetained)
        val found = seen.records.filter { it.offset >= from && it.stream in streams }
        val taken = found.take(limit)
        val next = if (taken.size < found.size) taken.last().offset.next() else maxOf(seen.end, from)
        return ReadResult.Page(taken, next, seen.firstRetained, seen.end)
    }

    private fun write(records: List<NewRecord>): Offset {
        var first = Offset.Start
        content.update { old ->
            first = old.end
            val stored = records.mapIndexed { index, record ->
                StoredRecord(Offset(old.end.value + index), record.stream, record.payload)
            }
            old.copy(records = old.records + stored, end = Offset(old.end.value + records.size))
        }
        return first
    }

    private companion object {
        val RETRY_AFTER = 100.milliseconds
    }
}
