package dev.vanillarun.hosted.store

import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicReadResult
import dev.vanillarun.core.store.TopicRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Adapts one topic of the store to a [PlatformLog] with the single stream [stream]; the lease protocol runs on it.
 *
 * The store does not return the offset of an append, so a successful append reports [Offset.None].
 */
internal class TopicPlatformLog(
    private val log: TopicLog,
    private val topic: TopicName,
    private val stream: StreamName,
) : PlatformLog {
    override suspend fun append(records: List<NewRecord>): AppendResult {
        val outcome = log.append(topic, records.map { TopicRecord(key = "", it.payload.encodeToByteArray()) })
        return when (outcome) {
            TopicAppendResult.Done -> AppendResult.Appended(Offset.None)
            is TopicAppendResult.Refused -> AppendResult.Refused(outcome.reason, RETRY_AFTER)
            is TopicAppendResult.Rejected -> AppendResult.Refused(outcome.reason, RETRY_AFTER)
            is TopicAppendResult.InDoubt -> AppendResult.InDoubt(outcome.reason)
        }
    }

    override suspend fun read(streams: Set<StreamName>, from: Offset, limit: Int, wait: Duration): ReadResult =
        when (val read = log.read(topic, from, wait)) {
            is TopicReadResult.Page -> ReadResult.Page(
                records = read.records.map { StoredRecord(it.offset, stream, it.value.decoded()) },
                next = read.next,
                firstRetained = Offset.Start,
                end = read.end,
            )

            is TopicReadResult.Expired -> ReadResult.Truncated(read.first)

            is TopicReadResult.Unavailable -> ReadResult.Unavailable(read.reason)
        }

    private fun ByteArray?.decoded() = this?.decodeToString().orEmpty()

    private companion object {
        /** Delay before a refused append is retried. */
        val RETRY_AFTER = 100.milliseconds
    }
}
