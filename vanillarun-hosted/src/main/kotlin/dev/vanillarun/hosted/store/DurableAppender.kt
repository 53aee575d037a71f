package dev.vanillarun.hosted.store

import dev.vanillarun.core.store.AppendIdentity
import dev.vanillarun.core.store.TopicAppend
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Appends the records of one process to one topic, in batches, each exactly once.
 *
 * Batches carry a producer's sequence number, so a batch whose outcome is in doubt is sent again until the store says
 * that it stands. A batch that the store has refused without doubt gives up the records whose sender can be told so,
 * and keeps the others.
 */
internal class DurableAppender(private val log: TopicLog, private val topic: TopicName, private val producer: String) {
    private enum class Stage { QUEUED, SENT, WITHDRAWN }

    private class Entry(val record: TopicRecord, val refusable: Boolean) {
        val stage = AtomicReference(Stage.QUEUED)
        val outcome = CompletableDeferred<TopicAppend>()
    }

    private val queue = Channel<Entry>(QUEUE_LIMIT)
    private val backoff = storeBackoff()
    private var sequence = 0L
    private var held: Entry? = null

    /** Appends [record] for good: keeps trying until it stands. */
    suspend fun append(record: TopicRecord) {
        val entry = Entry(record, refusable = false)
        queue.send(entry)
        entry.outcome.await()
    }

    /** Appends [record], or says within [timeout] that it will never stand, or that this is unknown. */
    suspend fun offer(record: TopicRecord, timeout: Duration): TopicAppend {
        val entry = Entry(record, refusable = true)
        if (queue.trySend(entry).isFailure) return TopicAppend.Refused("too many records wait")
        withTimeoutOrNull(timeout) { entry.outcome.await() }?.let { return it }
        val withdrawn = entry.stage.compareAndSet(Stage.QUEUED, Stage.WITHDRAWN)
        return if (withdrawn) TopicAppend.Refused("the store was not reached in time") else late(entry)
    }

    private fun late(entry: Entry): TopicAppend =
        if (entry.outcome.isCompleted) entry.outcome.getCompleted() else TopicAppend.InDoubt("no answer in time")

    /** Appends until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) write(gather())
    }

    private suspend fun gather(): List<Entry> {
        val batch = mutableListOf<Entry>()
        var bytes = 0
        var next = held ?: queue.receive()
        held = null
        while (true) {
            val size = next.record.size
            if (batch.isNotEmpty() && bytes + size > MAX_BATCH_BYTES) {
                held = next
                return batch
            }
            if (next.stage.compareAndSet(Stage.QUEUED, Stage.SENT)) {
                batch += next
                bytes += size
            }
            next = queue.tryReceive().getOrNull() ?: return batch
        }
    }

    private suspend fun write(first: List<Entry>) {
        var batch = first
        var doubt = false
        var failures = 0
        while (batch.isNotEmpty()) {
            val tried = log.append(topic, batch.map { it.record }, AppendIdentity(producer, sequence))
            if (tried == TopicAppend.Done) {
                sequence++
                batch.forEach { it.outcome.complete(tried) }
                return
            }
            doubt = doubt || tried is TopicAppend.InDoubt
            if (!doubt) batch = batch.giveUp(tried)
            delay(backoff.pause(failures++))
        }
    }

    /** Tells those that can be told that their record will never stand; returns the others. */
    private fun List<Entry>.giveUp(refusal: TopicAppend): List<Entry> {
        val (refused, kept) = partition { it.refusable }
        refused.forEach { it.outcome.complete(refusal) }
        return kept
    }

    private val TopicRecord.size: Int get() = key.length + (value?.size ?: 0) + RECORD_OVERHEAD

    private companion object {
        /** Records that may wait; a fleet's results of several seconds. */
        const val QUEUE_LIMIT = 4096

        /** Bytes of one append, well below what the store takes in a call. */
        const val MAX_BATCH_BYTES = 1_000_000

        /** Bytes of lengths beside key and value. */
        const val RECORD_OVERHEAD = 8
    }
}
