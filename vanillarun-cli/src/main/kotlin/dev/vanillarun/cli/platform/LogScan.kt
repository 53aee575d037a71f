package dev.vanillarun.cli.platform

import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName

/** Everything that the log still keeps of some streams. */
internal sealed interface LogScan {
    /** All kept records. */
    data class Records(val records: List<StoredRecord>, val from: Offset) : LogScan

    /** The log did not answer. */
    data class Unavailable(val reason: String) : LogScan
}

/** Reads all that the log keeps of [streams], up to its end at the time of the first page. */
internal suspend fun PlatformLog.scan(streams: Set<StreamName>): LogScan {
    var from = Offset.Start
    var next = from
    var end: Offset? = null
    val records = mutableListOf<StoredRecord>()
    while (end == null || next < end) {
        when (val result = read(streams, next)) {
            is ReadResult.Page -> {
                records += result.records
                next = result.next
                end = end ?: result.end
            }

            is ReadResult.Truncated -> {
                records.clear()
                from = result.firstRetained
                next = from
            }

            is ReadResult.Unavailable -> return LogScan.Unavailable(result.reason)
        }
    }
    return LogScan.Records(records, from)
}
