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
import dev.vanillarun.hosted.store.ReadPace
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import dev.vanillarun.hosted.target.TargetTracker
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.seconds

/** Record of a completed weight load; stored as JSON under its property names. */
@Serializable
internal data class LoadedWeights(
    /** Engine that loaded the weights. */
    val engine: TargetId,
    /** Start of the engine's process in Unix milliseconds; a restarted engine no longer has the weights. */
    val startedAt: Long,
    /** Name of the model. */
    val model: String,
    /** Version that the engine has served since the load. */
    val version: WeightVersion,
)

/**
 * View of what the holder of the control duty publishes: the placement of models on engines and completed weight loads.
 *
 * Loads are published because an engine's own announcement shows them only with its next heartbeat.
 */
internal class PlacementBoard(
    log: TopicLog,
    private val tracker: TargetTracker,
    clock: MonotonicClock,
    private val events: EventRecorder,
) : TopicSink {
    private val currentPlacement = MutableStateFlow(ModelPlacement())
    private val loadCounter = MutableStateFlow(0L)

    /** Reads [Topic] into this view. */
    val follower = TopicFollower(log, Topic, this, clock, events) { RarePace }

    /** Newest published placement; empty until one is read. */
    val placement: StateFlow<ModelPlacement> = currentPlacement.asStateFlow()

    /** Number of published loads read so far; changes with each of them. */
    val loadCount: StateFlow<Long> = loadCounter.asStateFlow()

    override fun reset(records: List<StoredTopicRecord>) = accept(records)

    override fun accept(records: List<StoredTopicRecord>) = records.forEach { record ->
        try {
            record.value?.decodeToString()?.let { applyRecord(record, it) }
        } catch (e: SerializationException) {
            val attributes = mapOf("key" to record.key, "reason" to e.message.orEmpty())
            events.record("placement.ignored", EventLinks(offset = record.offset), attributes)
        }
    }

    private fun applyRecord(record: StoredTopicRecord, text: String) {
        if (record.key == PLACEMENT_KEY) {
            val models: Map<String, String> = Json.decodeFromString(text)
            currentPlacement.value = ModelPlacement(models.mapKeys { TargetId(it.key) })
            events.record("placement.applied", EventLinks(offset = record.offset), models)
        } else {
            val loadedWeights = Json.decodeFromString(LoadedWeights.serializer(), text)
            tracker.versionObserved(
                loadedWeights.engine,
                loadedWeights.startedAt,
                loadedWeights.model,
                loadedWeights.version,
            )
            loadCounter.value++
        }
    }

    companion object {
        /** New records are rare and no decision needs to know that there is none. */
        private val RarePace = ReadPace(longPoll = 2.seconds)

        private const val PLACEMENT_KEY = "models"

        /** Topic of the placement and of completed weight loads. */
        val Topic = TopicName("placement", keyed = true)

        /** Encodes [placement]; all placements share one key, so the newest replaces the others. */
        fun record(placement: ModelPlacement): TopicRecord {
            val models = placement.models.entries.associate { (engine, model) -> engine.value to model }
            return TopicRecord(PLACEMENT_KEY, Json.encodeToString(models).encodeToByteArray())
        }

        /** Encodes [weights] under a key of the engine and model. */
        fun record(weights: LoadedWeights): TopicRecord = TopicRecord(
            "loaded/${weights.engine}/${weights.model}",
            Json.encodeToString(LoadedWeights.serializer(), weights).encodeToByteArray(),
        )
    }
}
