package dev.vanillarun.hosted.duty

import dev.vanillarun.core.id.TargetId
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
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The placement of models on engines, as the holder of the control duty has published it. */
internal class PlacementBoard(log: TopicLog, clock: MonotonicClock, private val events: EventRecorder) : TopicSink {
    private val current = MutableStateFlow(ModelPlacement())

    /** Reads the topic. */
    val follower = TopicFollower(log, Topic, this, clock, events)

    /** Placement in force. */
    val placement: StateFlow<ModelPlacement> = current.asStateFlow()

    override fun restart(records: List<StoredTopicRecord>) = accept(records)

    override fun accept(records: List<StoredTopicRecord>) {
        val newest = records.lastOrNull { it.key == KEY }?.value ?: return
        try {
            val models: Map<String, String> = Json.decodeFromString(newest.decodeToString())
            current.value = ModelPlacement(models.mapKeys { TargetId(it.key) })
            events.record("placement.applied", EventLinks(offset = records.last().offset), models)
        } catch (e: SerializationException) {
            events.record("placement.ignored", EventLinks(), mapOf("reason" to e.message.orEmpty()))
        }
    }

    companion object {
        private const val KEY = "models"

        /** Topic of the placement. */
        val Topic = TopicName("placement", keyed = true)

        /** The record that publishes [placement]. */
        fun record(placement: ModelPlacement): TopicRecord {
            val models = placement.models.entries.associate { (engine, model) -> engine.value to model }
            return TopicRecord(KEY, Json.encodeToString(models).encodeToByteArray())
        }
    }
}
