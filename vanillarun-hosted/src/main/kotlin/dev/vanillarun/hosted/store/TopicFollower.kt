package dev.vanillarun.hosted.store

import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRead
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Takes in what a [TopicFollower] reads; called by one coroutine at a time. */
internal interface TopicSink {
    /** Begins anew with [records], which replace all that was taken in before. */
    fun reset(records: List<StoredTopicRecord>)

    /** Takes in the records that follow. */
    fun accept(records: List<StoredTopicRecord>)
}

/** How far a follower is. */
internal data class FollowerState(
    /** Position to read from next. */
    val next: Offset = Offset.Start,
    /** True once the follower has read to the end of the topic. */
    val ready: Boolean = false,
    /** When the last answered read that reached the end was sent; null before the first. */
    val currentAt: Instant? = null,
    /** When reads began to fail; null while they are answered. */
    val unavailableSince: Instant? = null,
    /** When reads were answered again after they had failed; null if they never failed. */
    val recoveredAt: Instant? = null,
)

/**
 * Follows a topic with long polls and feeds [sink].
 *
 * A keyed topic is begun with the newest record of each key, also when the follower fell behind what the store keeps.
 * Reads keep [pace] apart, so that a busy topic costs a bounded number of calls.
 */
internal class TopicFollower(
    private val log: TopicLog,
    private val topic: TopicName,
    private val sink: TopicSink,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    private val wait: Duration = LONG_POLL,
    private val pace: Duration = 20.milliseconds,
) {
    private val current = MutableStateFlow(FollowerState())
    private val backoff = storeBackoff()

    /** How far this follower is. */
    val state: StateFlow<FollowerState> = current.asStateFlow()

    /** Follows until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        var failures = 0
        var begun = !topic.keyed
        while (true) {
            val asked = clock.now()
            val read = if (begun) log.read(topic, current.value.next, pollWait()) else log.newest(topic)
            val answered = read !is TopicRead.Unavailable
            when (read) {
                is TopicRead.Page -> {
                    take(read, asked, reset = !begun)
                    begun = true
                }

                is TopicRead.Expired -> if (topic.keyed) begun = false else skipTo(read.first)

                is TopicRead.Unavailable -> lost(read.reason)
            }
            failures = if (answered) 0 else failures + 1
            delay(if (answered) pace else backoff.pause(failures))
        }
    }

    /** True if everything that was in the topic when this was called has been taken in; asks the store. */
    suspend fun catchUp(timeout: Duration): Boolean = withTimeoutOrNull(timeout) {
        val from = state.first { it.ready }.next
        when (val read = log.read(topic, from, Duration.ZERO)) {
            is TopicRead.Page -> {
                state.first { it.next >= read.next }
                read.next >= read.end
            }

            else -> false
        }
    } ?: false

    /** Age of what was taken in, or null before the first read. */
    fun age(now: Instant): Duration? = state.value.currentAt?.let { now - it }

    private fun pollWait() = if (current.value.ready) wait else Duration.ZERO

    private fun take(page: TopicRead.Page, asked: Instant, reset: Boolean) {
        if (reset) {
            sink.reset(page.records)
        } else if (page.records.isNotEmpty()) {
            sink.accept(page.records)
        }
        val before = current.value
        val regained = before.unavailableSince != null
        if (regained) events.record("store.regained", EventLinks(), mapOf("topic" to topic.value))
        current.value = before.copy(
            next = page.next,
            ready = before.ready || page.next >= page.end,
            currentAt = if (page.next >= page.end) asked else before.currentAt,
            unavailableSince = null,
            recoveredAt = if (regained) clock.now() else before.recoveredAt,
        )
    }

    private fun skipTo(first: Offset) {
        current.value = current.value.copy(next = first)
    }

    private fun lost(reason: String) {
        if (current.value.unavailableSince != null) return
        events.record("store.lost", EventLinks(), mapOf("topic" to topic.value, "reason" to reason))
        current.value = current.value.copy(unavailableSince = clock.now())
    }

    companion object {
        /** Time that the store may hold a read without news; bounds how old a view is while nothing happens. */
        val LONG_POLL = 400.milliseconds
    }
}
