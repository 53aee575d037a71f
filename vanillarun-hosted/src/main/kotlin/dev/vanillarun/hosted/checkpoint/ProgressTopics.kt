package dev.vanillarun.hosted.checkpoint

import dev.vanillarun.core.checkpoint.RunnerBeat
import dev.vanillarun.core.checkpoint.SavedText
import dev.vanillarun.core.checkpoint.TextPart
import dev.vanillarun.core.checkpoint.TextPartKey
import dev.vanillarun.core.checkpoint.savedTexts
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.store.TopicSnapshotResult
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads the texts of unfinished items and the beats of their runners from the store. */
internal class ProgressTopics(private val log: TopicLog) {
    /** The saved texts of the items of [job]; null if the store did not answer. */
    suspend fun texts(job: JobId): Map<ItemId, SavedText>? {
        val prefix = TextPartKey.prefix(job)
        val records = records(Texts, prefix) { it.startsWith(prefix) } ?: return null
        val parts = records.mapNotNull { record ->
            val part = record.value?.let(TextPart::decode)
            TextPartKey.parse(record.key)?.let { key -> part?.let { key to it } }
        }
        return savedTexts(parts.toMap())
    }

    /** The latest beat of each instance; null if the store did not answer. */
    suspend fun beats(): Map<String, RunnerBeat>? {
        val records = records(Runners, after = null) { true } ?: return null
        return records.mapNotNull { record -> record.value?.let(::beat)?.let { record.key to it } }.toMap()
    }

    private suspend fun records(
        topic: TopicName,
        after: String?,
        belongs: (String) -> Boolean,
    ): List<StoredTopicRecord>? {
        val records = mutableListOf<StoredTopicRecord>()
        var position = after
        while (true) {
            val page = log.newest(topic, position, TopicLog.DEFAULT_SILENCE) as? TopicSnapshotResult.Page ?: return null
            records += page.records.takeWhile { belongs(it.key) }
            position = page.continueAfter?.takeIf(belongs) ?: return records
        }
    }

    private fun beat(value: ByteArray): RunnerBeat? = try {
        Json.decodeFromString(RunnerBeat.serializer(), value.decodeToString())
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

    companion object {
        /** Topic of the texts, see [TextPartKey]. */
        val Texts = TopicName("progress", keyed = true)

        /** Topic of the beats, by instance. */
        val Runners = TopicName("runners", keyed = true)

        /** Encodes [beat] of [instance]. */
        fun record(instance: String, beat: RunnerBeat): TopicRecord =
            TopicRecord(instance, Json.encodeToString(RunnerBeat.serializer(), beat).encodeToByteArray())
    }
}
