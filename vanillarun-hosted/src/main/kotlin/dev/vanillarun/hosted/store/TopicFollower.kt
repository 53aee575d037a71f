package dev.vanillarun.hosted.store

import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicReadResult
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

/** Receives the records that a [TopicFollower] reads; never called concurrently. */
internal interface TopicSink {
    /** Replaces all records received before with [records]. */
    fun reset(records: List<StoredTopicRecord>)

    /** Adds [records], which follow those received before, in offset order. */
    fun accept(records: List<StoredTopicRecord>)
}

/** Read position and freshness of a [TopicFollower]. */
internal data class FollowerState(
    /** Offset of the next read. */
    val next: Offset = Offset.Start,
    /** True once the follower has reached the end of the topic; stays true after that. */
    val ready: Boolean = false,
    /** Time at which the last successful read that reached the end was sent; null before the first. */
    val caughtUpAt: Instant? = null,
    /** Time of the first of the reads that are failing; null while reads succeed. */
    val unavailableSince: Instant? = null,
    /** Time of the first successful read after the last failure; null if none has failed. */
    val recoveredAt: Instant? = null,
)

/**
 * Reads a topic with long polls and passes the records to [sink].
 *
 * A keyed topic starts with the newest record of each key, and starts over when the next offset is no longer retained;
 * an unkeyed topic skips to the first retained offset. Reads are [readInterval] apart, which bounds the number of calls
 * for a busy topic.
 */
internal class TopicFollower(
    private val log: TopicLog,
    private val topic: TopicName,
    private val sink: TopicSink,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    private val longPoll: Duration = LONG_POLL,
    private val readInterval: Duration = 20.milliseconds,
) {
    private val current = MutableStateFlow(FollowerState())
    private val backoff = storeBackoff()

    /** Current read position and freshness. */
    val state: StateFlow<FollowerState> = current.asStateFlow()

    /** Reads until the calling coroutine is cancelled; failed reads are retried with backoff. */
    suspend fun run(): Nothing {
        var failures = 0
        var initialized = !topic.keyed
        while (true) {
            val sentAt = clock.now()
            val read = if (initialized) log.read(topic, current.value.next, pollTimeout()) else log.newest(topic)
            val succeeded = read !is TopicReadResult.Unavailable
            when (read) {
                is TopicReadResult.Page -> {
                    applyPage(read, sentAt, reset = !initialized)
                    initialized = true
                }

                is TopicReadResult.Expired -> if (topic.keyed) initialized = false else skipTo(read.first)

                is TopicReadResult.Unavailable -> markUnavailable(read.reason)
            }
            failures = if (succeeded) 0 else failures + 1
            delay(if (succeeded) readInterval else backoff.delayAfter(failures))
        }
    }

    /**
     * Reads the end of the topic from the store and waits until the sink has received every record before it. Returns
     * false after [timeout], or if the read fails or does not reach the end.
     */
    suspend fun catchUp(timeout: Duration): Boolean = withTimeoutOrNull(timeout) {
        val from = state.first { it.ready }.next
        when (val read = log.read(topic, from, Duration.ZERO)) {
            is TopicReadResult.Page -> {
                state.first { it.next >= read.next }
                read.next >= read.end
            }

            else -> false
        }
    } ?: false

    /** Upper bound of the view's staleness at [now]; null until the end of the topic was first reached. */
    fun age(now: Instant): Duration? = state.value.caughtUpAt?.let { now - it }

    private fun pollTimeout() = if (current.value.ready) longPoll else Duration.ZERO

    private fun applyPage(page: TopicReadResult.Page, sentAt: Instant, reset: Boolean) {
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
            caughtUpAt = if (page.next >= page.end) sentAt else before.caughtUpAt,
            unavailableSince = null,
            recoveredAt = if (regained) clock.now() else before.recoveredAt,
        )
    }

    private fun skipTo(first: Offset) {
        current.value = current.value.copy(next = first)
    }

    private fun markUnavailable(reason: String) {
        if (current.value.unavailableSince != null) return
        events.record("store.lost", EventLinks(), mapOf("topic" to topic.value, "reason" to reason))
        current.value = current.value.copy(unavailableSince = clock.now())
    }

    companion object {
        /** Time that the store may hold a read while there is no new record; bounds a view's age on an idle topic. */
        val LONG_POLL = 400.milliseconds
    }
}
