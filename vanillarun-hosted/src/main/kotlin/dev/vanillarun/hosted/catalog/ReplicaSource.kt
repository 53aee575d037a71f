package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.ReadPace
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import dev.vanillarun.hosted.target.TargetListing
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** View of the targets that announce themselves in [CatalogCodec.targetTopic]. */
internal class ReplicaSource(
    log: TopicLog,
    private val codec: CatalogCodec,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) : TopicSink,
    TargetListing {
    private val current = MutableStateFlow<Map<TargetId, Replica>>(emptyMap())
    private val announcedAt = ConcurrentHashMap<TargetId, Instant>()
    private val removalDue = MutableStateFlow<Map<TargetId, Instant>>(emptyMap())

    /** Reads [CatalogCodec.targetTopic] into this view. */
    val follower = TopicFollower(log, codec.targetTopic, this, clock, events) { HeartbeatPace }

    /** All announced targets by id, including those that are leaving. */
    val replicas: StateFlow<Map<TargetId, Replica>> = current.asStateFlow()

    override fun announcementAge(target: TargetId): Duration? = announcedAt[target]?.let { clock.now() - it }

    override fun of(service: String): List<Replica> = current.value.values.filter {
        it.service == service && !it.leaving
    }

    /** Removes targets whose announcement expired during a store outage and was not renewed in time. */
    suspend fun run(): Nothing {
        while (true) {
            removalDue.first { it.isNotEmpty() }
            delay(EXPIRY_CHECK_INTERVAL)
            val now = clock.now()
            removalDue.value.filterValues { now >= it }.keys.forEach { remove(it, "lapsed") }
        }
    }

    override fun reset(records: List<StoredTopicRecord>) {
        val present = records.filter { it.value != null }.mapTo(HashSet()) { TargetId(it.key) }
        accept(records)
        current.value.keys.filter { it !in present }.forEach(::removeOrDefer)
    }

    override fun accept(records: List<StoredTopicRecord>) = records.forEach(::applyRecord)

    private fun applyRecord(record: StoredTopicRecord) {
        val id = TargetId(record.key)
        val value = record.value ?: return removeOrDefer(id)
        when (val decoded = codec.announcement(record.key, value)) {
            is Announcement.Listed -> applyListed(decoded.replica)

            is Announcement.Unusable -> {
                val attributes = mapOf("target" to record.key, "reason" to decoded.reason)
                events.record("target.unusable", EventLinks(), attributes)
                if (id in current.value) remove(id, "unusable")
            }
        }
    }

    private fun applyListed(replica: Replica) {
        removalDue.update { it - replica.id }
        announcedAt[replica.id] = clock.now()
        val before = current.value[replica.id]
        if (before == replica) return
        current.update { it + (replica.id to replica) }
        if (before?.leaving != replica.leaving || before.address != replica.address) {
            val attributes = mapOf(
                "target" to replica.id.value,
                "service" to replica.service,
                "address" to replica.address,
                "leaving" to "${replica.leaving}",
            )
            events.record("target.listed", EventLinks(), attributes)
        }
    }

    /** Defers the removal during a store outage, in which live targets' entries expire, by [REANNOUNCE_GRACE]. */
    private fun removeOrDefer(id: TargetId) {
        if (id !in current.value) return
        val state = follower.state.value
        val outage =
            state.unavailableSince != null || state.recoveredAt?.let { clock.now() - it < REANNOUNCE_GRACE } == true
        if (outage) removalDue.update { it + (id to clock.now() + REANNOUNCE_GRACE) } else remove(id, "withdrawn")
    }

    private fun remove(id: TargetId, reason: String) {
        current.update { it - id }
        announcedAt -= id
        removalDue.update { it - id }
        events.record("target.gone", EventLinks(), mapOf("target" to id.value, "reason" to reason))
    }

    private companion object {
        /** Time within which live targets announce themselves again after a store outage. */
        val REANNOUNCE_GRACE = 2.seconds
        val EXPIRY_CHECK_INTERVAL = 100.milliseconds

        /** The targets' heartbeats keep the topic busy; the interval adds to the time until a drain is noticed. */
        val HeartbeatPace = ReadPace(interval = 250.milliseconds)
    }
}
