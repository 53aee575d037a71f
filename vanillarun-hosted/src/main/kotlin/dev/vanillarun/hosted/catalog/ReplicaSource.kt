package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows the announcements of the targets. */
internal class ReplicaSource(
    log: TopicLog,
    private val codec: CatalogCodec,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) : TopicSink {
    private val listed = MutableStateFlow<Map<TargetId, Replica>>(emptyMap())
    private val lapsed = MutableStateFlow<Map<TargetId, Instant>>(emptyMap())

    /** Reads the topic. */
    val follower = TopicFollower(log, codec.targetTopic, this, clock, events, pace = 50.milliseconds)

    /** Targets by identity. */
    val replicas: StateFlow<Map<TargetId, Replica>> = listed.asStateFlow()

    /** Targets of [service] that take new work. */
    fun of(service: String): List<Replica> = listed.value.values.filter { it.service == service && !it.leaving }

    /** Drops targets whose announcement lapsed during an outage of the store and did not come back. */
    suspend fun run(): Nothing {
        while (true) {
            delay(LAPSE_CHECK)
            val now = clock.now()
            lapsed.value.filterValues { now >= it }.keys.forEach { gone(it, "lapsed") }
        }
    }

    override fun reset(records: List<StoredTopicRecord>) {
        val present = records.filter { it.value != null }.mapTo(HashSet()) { TargetId(it.key) }
        accept(records)
        listed.value.keys.filter { it !in present }.forEach(::missing)
    }

    override fun accept(records: List<StoredTopicRecord>) = records.forEach(::take)

    private fun take(record: StoredTopicRecord) {
        val id = TargetId(record.key)
        val value = record.value ?: return missing(id)
        when (val read = codec.announcement(record.key, value)) {
            is Announcement.Listed -> list(read.replica)

            is Announcement.Unusable -> {
                val what = mapOf("target" to record.key, "reason" to read.reason)
                events.record("target.unusable", EventLinks(), what)
                if (id in listed.value) gone(id, "unusable")
            }
        }
    }

    private fun list(replica: Replica) {
        lapsed.update { it - replica.id }
        val before = listed.value[replica.id]
        if (before == replica) return
        listed.update { it + (replica.id to replica) }
        if (before?.leaving != replica.leaving || before.address != replica.address) {
            val what = mapOf(
                "target" to replica.id.value,
                "service" to replica.service,
                "address" to replica.address,
                "leaving" to "${replica.leaving}",
            )
            events.record("target.listed", EventLinks(), what)
        }
    }

    /** Announcements also lapse while the store is away; such targets have a moment to come back. */
    private fun missing(id: TargetId) {
        if (id !in listed.value) return
        val state = follower.state.value
        val outage = state.unavailableSince != null || state.recoveredAt?.let { clock.now() - it < RETURN } == true
        if (outage) lapsed.update { it + (id to clock.now() + RETURN) } else gone(id, "withdrawn")
    }

    private fun gone(id: TargetId, reason: String) {
        listed.update { it - id }
        lapsed.update { it - id }
        events.record("target.gone", EventLinks(), mapOf("target" to id.value, "reason" to reason))
    }

    private companion object {
        /** Time in which live targets announce themselves again after an outage of the store. */
        val RETURN = 2.seconds
        val LAPSE_CHECK = 100.milliseconds
    }
}
