package dev.vanillarun.core.job

import dev.vanillarun.core.store.TopicRecord
import kotlinx.serialization.json.Json

/**
 * Converts job records to and from the keyed records of the store.
 *
 * Items and texts have the first keys in the order of the store, so that a reader can begin after them. The key of a
 * result includes its writer, so that compaction never replaces the result of one run with that of another and the
 * first result in the log stays the first.
 */
public object JobRecordCodec {
    private const val SUBMITTED = "job"
    private const val FINISHED = "result"
    private const val ENDED = "end"
    private const val ITEMS = "content-items"
    private const val TEXT = "content-text"
    private const val FIRST_PART = "items"
    private const val PART_DIGITS = 5
    private const val KEY_PARTS = 2
    private const val TEXT_KEY_PARTS = 4

    private val json = Json { ignoreUnknownKeys = true }

    /** The keys of [JobRecord.Items] and [JobRecord.Text] sort before this one, those of all other records after it. */
    public const val CONTENT_END: String = "content."

    /** Key that sorts directly before that of part [part] of the items of [job]. */
    public fun beforeItems(job: JobId, part: Int = 0): String =
        if (part == 0) itemsPrefix(job) else itemsKey(job, part - 1)

    private fun itemsPrefix(job: JobId): String = "$ITEMS/$job/"

    private fun itemsKey(job: JobId, part: Int): String =
        itemsPrefix(job) + if (part == 0) FIRST_PART else "$FIRST_PART.${"$part".padStart(PART_DIGITS, '0')}"

    /** Beginning of the keys of the texts of [job]. */
    public fun textPrefix(job: JobId): String = "$TEXT/$job/"

    /** Key that sorts directly before the keys of all texts of [item]. */
    public fun beforeTexts(job: JobId, item: ItemId): String = "${textPrefix(job)}$item/"

    /**
     * Returns [record] as keyed records to be appended together; [writer] must be unique to this run of the process.
     * The items of a [JobRecord.Submitted], at most [itemsPerRecord] in each, and the text of a [JobRecord.Finished]
     * become records of their own.
     */
    public fun encode(record: JobRecord, writer: String, itemsPerRecord: Int = Int.MAX_VALUE): List<TopicRecord> =
        when {
            record is JobRecord.Submitted && record.content.items.isNotEmpty() -> {
                val job = record.content
                val parts = job.items.chunked(itemsPerRecord)
                parts.mapIndexed { part, items -> encodeOne(JobRecord.Items(job.copy(items = items), part), writer) } +
                    encodeOne(JobRecord.Submitted(job.copy(items = emptyList())), writer)
            }

            record is JobRecord.Finished && record.result.text.isNotEmpty() -> {
                val result = record.result
                val text = JobRecord.Text(record.job, TextKey(result.item, writer), result.text)
                val reference = JobRecord.Finished(record.job, result.copy(text = "", textWriter = writer))
                listOf(encodeOne(text, writer), encodeOne(reference, writer))
            }

            else -> listOf(encodeOne(record, writer))
        }

    private fun encodeOne(record: JobRecord, writer: String): TopicRecord = when (record) {
        is JobRecord.Submitted ->
            TopicRecord("$SUBMITTED/${record.job}", json.encodeToString(Job.serializer(), record.content).bytes())

        is JobRecord.Items -> TopicRecord(
            itemsKey(record.job, record.part),
            json.encodeToString(Job.serializer(), record.content).bytes(),
        )

        is JobRecord.Finished -> TopicRecord(
            "$FINISHED/${record.job}/${record.result.item}/$writer",
            json.encodeToString(ItemResult.serializer(), record.result).bytes(),
        )

        is JobRecord.Text ->
            TopicRecord("${textPrefix(record.job)}${record.key.item}/${record.key.writer}", record.text.bytes())

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

                ITEMS -> partOf(parts)?.let {
                    JobRecord.Items(json.decodeFromString(Job.serializer(), value.decodeToString()), it)
                }

                ENDED -> JobRecord.Ended(job)

                TEXT -> textKey(parts)?.let { JobRecord.Text(job, it, value.decodeToString()) }

                else -> null
            }
        } catch (_: IllegalArgumentException) {
            null
        }
    }

    private fun partOf(key: List<String>): Int? {
        val name = key.last()
        return if (name == FIRST_PART) 0 else name.removePrefix("$FIRST_PART.").toIntOrNull()?.takeIf { it > 0 }
    }

    private fun textKey(parts: List<String>): TextKey? =
        if (parts.size == TEXT_KEY_PARTS) TextKey(ItemId(parts[2]), parts[TEXT_KEY_PARTS - 1]) else null

    private fun String.bytes() = encodeToByteArray()
}
