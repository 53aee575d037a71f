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
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Receives the records that a [TopicFollower] reads; never called concurrently.
 *
 * A call that throws must have had no effect: the records are then delivered again one by one, without those that fail.
 */
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

/** How often a [TopicFollower] reads; together the two durations bound its calls to the store. */
internal data class ReadPace(
    /**
     * Time that the store may hold a read while there is no new record. It bounds the calls for an idle topic, and the
     * time until a silent connection is noticed. New records end the wait at once.
     */
    val longPoll: Duration = 1.seconds,
    /** Pause between two reads. It bounds the calls for a busy topic and is the longest delay of a record. */
    val interval: Duration = 20.milliseconds,
)

/**
 * Reads a topic with long polls and passes the records to [sink].
 *
 * A keyed topic starts with the newest record of each key, and starts over when the next offset is no longer retained;
 * an unkeyed topic skips to the first retained offset. [pace] is asked before each read. A view that must be fresher
 * than the long poll makes it is confirmed on demand, see [confirm]. The start leaves out the keys up to
 * [snapshotStart].
 */
internal class TopicFollower(
    private val log: TopicLog,
    private val topic: TopicName,
    private val sink: TopicSink,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    private val snapshotStart: String? = null,
    private val pace: () -> ReadPace = { ReadPace() },
) {
    private val current = MutableStateFlow(FollowerState())
    private val backoff = storeBackoff()
    private val silence = GrowingSilence(TopicLog.DEFAULT_SILENCE, MAX_SILENCE)
    private val confirmation = Mutex()

    /** Signals that a caller waits for the view, which ends the pause before the next read. */
    private val awaited = Channel<Unit>(Channel.CONFLATED)

    /** Current read position and freshness. */
    val state: StateFlow<FollowerState> = current.asStateFlow()

    /** Reads until the calling coroutine is cancelled; failed reads are retried with backoff. */
    suspend fun run(): Nothing {
        var failures = 0
        var snapshot = if (topic.keyed) newSnapshot() else null
        while (true) {
            val sentAt = clock.now()
            val outcome = snapshot?.let { readSnapshot(it, sentAt, failures) } ?: follow(sentAt, failures)
            if (snapshot?.isComplete == true) snapshot = null
            failures = if (outcome == ReadOutcome.FAILED) failures + 1 else 0
            when (outcome) {
                ReadOutcome.CAUGHT_UP -> withTimeoutOrNull(pace().interval) { awaited.receive() }
                ReadOutcome.BEHIND -> Unit
                ReadOutcome.EXPIRED -> snapshot = newSnapshot()
                ReadOutcome.FAILED -> delay(backoff.delayAfter(failures))
            }
        }
    }

    /** What follows a read: a pause, the next read at once, a new snapshot, or a repeat after a backoff. */
    private enum class ReadOutcome { CAUGHT_UP, BEHIND, EXPIRED, FAILED }

    private fun newSnapshot() = SnapshotReader(log, topic, clock, snapshotStart)

    private suspend fun readSnapshot(snapshot: SnapshotReader, sentAt: Instant, failures: Int): ReadOutcome {
        val after = snapshot.after
        val step = snapshot.next()
        val position = mapOf("position" to "snapshot after ${after ?: "start"}", "failures_before" to "$failures")
        return when (step) {
            SnapshotStep.Partial -> ReadOutcome.BEHIND

            is SnapshotStep.Complete -> {
                val bytes = step.page.records.sumOf { it.key.length + (it.value?.size ?: 0) }
                val counts = mapOf("records" to "${step.page.records.size}", "bytes" to "$bytes")
                record("topic.snapshot_read", sentAt, position + counts)
                applyPage(step.page, snapshot.endReadAt ?: sentAt, reset = true)
                ReadOutcome.CAUGHT_UP
            }

            is SnapshotStep.Failed -> {
                record("topic.read_failed", sentAt, position + ("reason" to step.reason))
                markUnavailable(step.reason)
                ReadOutcome.FAILED
            }
        }
    }

    private suspend fun follow(sentAt: Instant, failures: Int): ReadOutcome {
        val from = current.value.next
        return when (val read = log.read(topic, from, pollTimeout(), silence.current)) {
            is TopicReadResult.Page -> {
                silence.succeeded()
                applyPage(read, sentAt, reset = false)
                if (read.next == from || read.next >= read.end) ReadOutcome.CAUGHT_UP else ReadOutcome.BEHIND
            }

            is TopicReadResult.Expired -> {
                if (!topic.keyed) skipTo(read.first)
                if (topic.keyed) ReadOutcome.EXPIRED else ReadOutcome.CAUGHT_UP
            }

            is TopicReadResult.Unavailable -> {
                silence.failed()
                val position = mapOf("position" to "${from.value}", "failures_before" to "$failures")
                record("topic.read_failed", sentAt, position + ("reason" to read.reason))
                markUnavailable(read.reason)
                ReadOutcome.FAILED
            }
        }
    }

    private fun record(name: String, sentAt: Instant, attributes: Map<String, String>) {
        val elapsed = (clock.now() - sentAt).inWholeMilliseconds
        events.record(name, EventLinks(), attributes + mapOf("topic" to topic.value, "elapsed_ms" to "$elapsed"))
    }

    /** Ends the pause before the next read. */
    fun refresh() {
        awaited.trySend(Unit)
    }

    /**
     * Reads the end of the topic from the store and waits until the sink has received every record before it. Returns
     * false after [timeout], or if the read fails or does not reach the end.
     */
    suspend fun catchUp(timeout: Duration): Boolean = withTimeoutOrNull(timeout) {
        val from = state.first { it.ready }.next
        val sentAt = clock.now()
        when (val read = log.read(topic, from, Duration.ZERO, silence.current)) {
            is TopicReadResult.Page -> {
                if (state.value.next < read.next) refresh()
                state.first { it.next >= read.next }
                (read.next >= read.end).also { if (it) markCaughtUp(sentAt) }
            }

            else -> false
        }
    } ?: false

    /**
     * Returns true once the view is at most [maxAge] old, which may take one read of the store; false after [timeout],
     * or if that read fails. Concurrent calls share a read.
     */
    suspend fun confirm(maxAge: Duration, timeout: Duration): Boolean =
        isFresher(maxAge) || withTimeoutOrNull(timeout) {
            confirmation.withLock { isFresher(maxAge) || catchUp(timeout) }
        } ?: false

    private fun isFresher(maxAge: Duration) = age(clock.now())?.let { it < maxAge } ?: false

    private fun markCaughtUp(sentAt: Instant) =
        current.update { it.copy(caughtUpAt = maxOf(sentAt, it.caughtUpAt ?: sentAt)) }

    /** Upper bound of the view's staleness at [now]; null until the end of the topic was first reached. */
    fun age(now: Instant): Duration? = state.value.caughtUpAt?.let { now - it }

    private fun pollTimeout() = if (current.value.ready) pace().longPoll else Duration.ZERO

    private fun applyPage(page: TopicReadResult.Page, sentAt: Instant, reset: Boolean) {
        deliver(page.records, reset)
        val regained = current.value.unavailableSince != null
        if (regained) events.record("store.regained", EventLinks(), mapOf("topic" to topic.value))
        val reachedEnd = page.next >= page.end
        current.update { before ->
            before.copy(
                next = page.next,
                ready = before.ready || reachedEnd,
                caughtUpAt = if (reachedEnd) maxOf(sentAt, before.caughtUpAt ?: sentAt) else before.caughtUpAt,
                unavailableSince = null,
                recoveredAt = if (regained) clock.now() else before.recoveredAt,
            )
        }
    }

    /** Passes [records] to the sink; a record that it cannot process is skipped, so that it does not end the view. */
    @Suppress("TooGenericExceptionCaught") // Any defect in decoding or applying one record.
    private fun deliver(records: List<StoredTopicRecord>, reset: Boolean) {
        if (records.isEmpty() && !reset) return
        try {
            if (reset) sink.reset(records) else sink.accept(records)
        } catch (e: RuntimeException) {
            isolate(records, reset, e)
        } catch (e: StackOverflowError) {
            isolate(records, reset, e) // A deeply nested record; the stack is free again.
        }
    }

    /** Delivers [records] one by one after [cause], or skips the single one. */
    private fun isolate(records: List<StoredTopicRecord>, reset: Boolean, cause: Throwable) {
        val first = records.firstOrNull() ?: throw cause
        if (records.size > 1) {
            deliver(listOf(first), reset)
            records.drop(1).forEach { deliver(listOf(it), reset = false) }
            return
        }
        val attributes = mapOf("topic" to topic.value, "key" to first.key, "reason" to "$cause")
        events.record("topic.record_skipped", EventLinks(offset = first.offset), attributes)
        if (reset) sink.reset(emptyList())
    }

    private fun skipTo(first: Offset) = current.update { it.copy(next = first) }

    private fun markUnavailable(reason: String) {
        if (current.value.unavailableSince != null) return
        events.record("store.lost", EventLinks(), mapOf("topic" to topic.value, "reason" to reason))
        current.update { it.copy(unavailableSince = clock.now()) }
    }

    private companion object {
        /** Limit of the doubled silence; views have to be fresh again within two to three seconds of an outage. */
        val MAX_SILENCE = 1400.milliseconds
    }
}
