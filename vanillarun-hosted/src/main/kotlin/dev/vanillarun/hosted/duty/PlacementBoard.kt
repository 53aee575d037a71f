package dev.vanillarun.hosted.duty

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.placement.ModelPlacement
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import dev.vanillarun.hosted.target.TargetBook
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Weights that an engine has loaded. */
@Serializable
internal data class LoadedWeights(
    /** Engine. */
    val engine: TargetId,
    /** Start of its process, Unix milliseconds. */
    val startedAt: Long,
    /** Model. */
    val model: String,
    /** Version. */
    val version: WeightVersion,
)

/**
 * What the holder of the control duty has published: the placement of models on engines, and loads of weights.
 *
 * An engine's own announcement tells of a load only with its next heartbeat.
 */
internal class PlacementBoard(
    log: TopicLog,
    private val book: TargetBook,
    clock: MonotonicClock,
    private val events: EventRecorder,
) : TopicSink {
    private val current = MutableStateFlow(ModelPlacement())
    private val loads = MutableStateFlow(0L)

    /** Reads the topic. */
    val follower = TopicFollower(log, Topic, this, clock, events)

    /** Placement in force. */
    val placement: StateFlow<ModelPlacement> = current.asStateFlow()

    /** Changes with each load that was published. */
    val loaded: StateFlow<Long> = loads.asStateFlow()

    override fun reset(records: List<StoredTopicRecord>) = accept(records)

    override fun accept(records: List<StoredTopicRecord>) = records.forEach { record ->
        try {
            record.value?.decodeToString()?.let { take(record, it) }
        } catch (e: SerializationException) {
            val what = mapOf("key" to record.key, "reason" to e.message.orEmpty())
            events.record("placement.ignored", EventLinks(offset = record.offset), what)
        }
    }

    private fun take(record: StoredTopicRecord, text: String) {
        if (record.key == MODELS) {
            val models: Map<String, String> = Json.decodeFromString(text)
            current.value = ModelPlacement(models.mapKeys { TargetId(it.key) })
            events.record("placement.applied", EventLinks(offset = record.offset), models)
        } else {
            val seen = Json.decodeFromString(LoadedWeights.serializer(), text)
            book.serves(seen.engine, seen.startedAt, seen.model, seen.version)
            loads.value++
        }
    }

    companion object {
        private const val MODELS = "models"

        /** Topic of the placement. */
        val Topic = TopicName("placement", keyed = true)

        /** The record that publishes [placement]. */
        fun record(placement: ModelPlacement): TopicRecord {
            val models = placement.models.entries.associate { (engine, model) -> engine.value to model }
            return TopicRecord(MODELS, Json.encodeToString(models).encodeToByteArray())
        }

        /** The record that publishes [loaded]. */
        fun record(loaded: LoadedWeights): TopicRecord = TopicRecord(
            "loaded/${loaded.engine}/${loaded.model}",
            Json.encodeToString(LoadedWeights.serializer(), loaded).encodeToByteArray(),
        )
    }
}
