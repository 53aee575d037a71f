package dev.vanillarun.hosted.job

import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicSnapshotResult
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.GrowingSilence
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/**
 * Reads items and texts of [topic] for callers, one page at a time, and passes all records of a page to [accept].
 *
 * Callers that need the same page share its read. A read goes on when its callers have given up, since its records
 * serve their next attempt: reads that end with their callers would be repeated for good once a page takes longer than
 * a caller waits.
 */
internal class ContentReader(
    private val log: TopicLog,
    private val topic: TopicName,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    private val accept: (List<StoredTopicRecord>) -> Unit,
) {
    private class Request(val after: String, val isNeeded: () -> Boolean) {
        val done = CompletableDeferred<Boolean>()
    }

    private val requests = ConcurrentHashMap<String, Request>()
    private val queue = Channel<Request>(Channel.UNLIMITED)
    private val silence = GrowingSilence(MIN_SILENCE, MAX_SILENCE)

    /**
     * Waits until the page that begins after [after] was read, or a page before it made that needless as [isNeeded]
     * tells. Returns false if the read failed.
     */
    suspend fun read(after: String, isNeeded: () -> Boolean): Boolean =
        requests.computeIfAbsent(after) { Request(it, isNeeded).also(queue::trySend) }.done.await()

    /** Reads the pages that are asked for until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            val request = queue.receive()
            var succeeded = false
            try {
                succeeded = !request.isNeeded() || readPage(request.after)
            } finally {
                requests.remove(request.after)
                request.done.complete(succeeded)
            }
        }
    }

    private suspend fun readPage(after: String): Boolean {
        val sentAt = clock.now()
        val read = log.newest(topic, after, silence.current)
        val result = when (read) {
            is TopicSnapshotResult.Page -> mapOf("records" to "${read.records.size}")
            is TopicSnapshotResult.Unavailable -> mapOf("reason" to read.reason)
        }
        val elapsed = mapOf("after" to after, "elapsed_ms" to "${(clock.now() - sentAt).inWholeMilliseconds}")
        events.record("job.content_read", EventLinks(), elapsed + result)
        if (read is TopicSnapshotResult.Page) {
            silence.succeeded()
            accept(read.records)
        } else {
            silence.failed()
        }
        return read is TopicSnapshotResult.Page
    }

    private companion object {
        /** Silence after which the first read fails: the store sends a page to a hundred instances meanwhile. */
        val MIN_SILENCE = 2.seconds

        /** Limit of the doubled silence; a connection may have gone silent for good. */
        val MAX_SILENCE = 8.seconds
    }
}
