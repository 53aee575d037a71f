package dev.vanillarun.core.job

import dev.vanillarun.core.store.TopicRecord
import kotlinx.serialization.json.Json

/**
 * Converts job records to and from the keyed records of the store.
 *
 * The key of a result includes its writer, so that compaction never replaces the result of one run with that of another
 * and the first result in the log stays the first.
 */
public object JobRecordCodec {
    private const val SUBMITTED = "job"
    private const val FINISHED = "result"
    private const val ENDED = "end"
    private const val KEY_PARTS = 2
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [record] as a keyed record; [writer] must be unique to this run of the process. */
    public fun encode(record: JobRecord, writer: String): TopicRecord = when (record) {
        is JobRecord.Submitted ->
            TopicRecord("$SUBMITTED/${record.job}", json.encodeToString(Job.serializer(), record.content).bytes())

        is JobRecord.Finished -> TopicRecord(
            "$FINISHED/${record.job}/${record.result.item}/$writer",
            json.encodeToString(ItemResult.serializer(), record.result).bytes(),
        )

        is JobRecord.Ended -> TopicRecord("$ENDED/${record.job}", "{}".bytes())
    }

    /**
     * Decodes [value] stored under [key]; null for a removed record, a damaged one, or one of a type that this build
     * does not know.
     */
    public fun decode(key: String, value: ByteArray?): JobRecord? {
        val parts = key.split('/')
        if (value == null || parts.size < KEY_PARTS) return null
        return try {
            val job = JobId(parts[1])
            when (parts[0]) {
                SUBMITTED -> JobRecord.Submitted(json.decodeFromString(Job.serializer(), value.decodeToString()))

                FINISHED ->
                    JobRecord.Finished(job, json.decodeFromString(ItemResult.serializer(), value.decodeToString()))

                ENDED -> JobRecord.Ended(job)

                else -> null
            }
        } catch (_: IllegalArgumentException) {
            null
        }
    }

    private fun String.bytes() = encodeToByteArray()
}
