package dev.vanillarun.hosted.store

import dev.vanillarun.core.store.AppendIdentity
import dev.vanillarun.core.store.AppendLimits
import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Appends the records of one process to one topic in batches, each record exactly once.
 *
 * Each batch carries a producer id and sequence number by which the store deduplicates, so a batch whose outcome is in
 * doubt is resent until the store confirms it. When the store definitely refuses a batch, the records of [offer] fail,
 * and those of [append] are sent again. Records that the store can never accept are rejected alone, without the others
 * of their batch: they would hold up all records of the process.
 */
internal class DurableAppender(
    private val log: TopicLog,
    /** Topic of the records. */
    val topic: TopicName,
    private val producer: String,
    private val events: EventRecorder,
) {
    private enum class Stage { QUEUED, IN_FLIGHT, WITHDRAWN }

    private class Entry(val records: List<TopicRecord>, val mayRefuse: Boolean) {
        val stage = AtomicReference(Stage.QUEUED)
        val outcome = CompletableDeferred<TopicAppendResult>()
    }

    private val queue = Channel<Entry>(QUEUE_LIMIT)
    private val backoff = storeBackoff()
    private var sequence = 0L
    private var carriedOver: Entry? = null

    /** Limits of the store, beyond which records are rejected. */
    val limits: AppendLimits get() = log.limits

    /** Appends [record] as [append] of a list does. */
    suspend fun append(record: TopicRecord): TopicAppendResult = append(listOf(record))

    /**
     * Appends [records] together, with unlimited retries; returns Done once the store has confirmed them, or Rejected
     * if it can never accept them.
     */
    suspend fun append(records: List<TopicRecord>): TopicAppendResult {
        rejection(records)?.let { return it }
        val entry = Entry(records, mayRefuse = false)
        queue.send(entry)
        return entry.outcome.await()
    }

    /** Appends [record] as [offer] of a list does. */
    suspend fun offer(record: TopicRecord, timeout: Duration): TopicAppendResult = offer(listOf(record), timeout)

    /**
     * Appends [records] together within [timeout]. Refused and Rejected mean that they will never be appended; InDoubt
     * means that they may have been appended or may still be.
     */
    suspend fun offer(records: List<TopicRecord>, timeout: Duration): TopicAppendResult {
        rejection(records)?.let { return it }
        val entry = Entry(records, mayRefuse = true)
        if (queue.trySend(entry).isFailure) return TopicAppendResult.Refused("append queue is full")
        withTimeoutOrNull(timeout) { entry.outcome.await() }?.let { return it }
        val withdrawn = entry.stage.compareAndSet(Stage.QUEUED, Stage.WITHDRAWN)
        return if (withdrawn) TopicAppendResult.Refused("append timed out in the queue") else outcomeAfterTimeout(entry)
    }

    private fun rejection(records: List<TopicRecord>): TopicAppendResult.Rejected? =
        log.limits.violation(records)?.let(TopicAppendResult::Rejected)?.also { recordRejection(records, it) }

    private fun recordRejection(records: List<TopicRecord>, rejected: TopicAppendResult.Rejected) {
        val attributes = mapOf("topic" to topic.value, "key" to records.first().key, "reason" to rejected.reason)
        events.record("append.rejected", EventLinks(), attributes)
    }

    private fun outcomeAfterTimeout(entry: Entry): TopicAppendResult =
        if (entry.outcome.isCompleted) entry.outcome.getCompleted() else TopicAppendResult.InDoubt("no reply in time")

    /** Sends queued records until the calling coroutine is cancelled; only one coroutine may run this. */
    suspend fun run(): Nothing {
        while (true) appendBatch(nextBatch())
    }

    private suspend fun nextBatch(): List<Entry> {
        val batch = mutableListOf<Entry>()
        var bytes = 0
        var next = carriedOver ?: queue.receive()
        carriedOver = null
        while (true) {
            val size = next.records.sumOf { it.size }
            if (batch.isNotEmpty() && bytes + size > minOf(MAX_BATCH_BYTES, log.limits.appendBytes)) {
                carriedOver = next
                return batch
            }
            if (next.stage.compareAndSet(Stage.QUEUED, Stage.IN_FLIGHT)) {
                batch += next
                bytes += size
            }
            next = queue.tryReceive().getOrNull() ?: return batch
        }
    }

    private suspend fun appendBatch(first: List<Entry>) {
        var batch = first
        var inDoubt = false
        var failures = 0
        while (batch.isNotEmpty()) {
            val outcome = send(batch)
            if (outcome == TopicAppendResult.Done) {
                sequence++
                batch.forEach { it.outcome.complete(outcome) }
                return
            }
            if (outcome is TopicAppendResult.Rejected) return reject(batch, outcome)
            inDoubt = inDoubt || outcome is TopicAppendResult.InDoubt
            if (!inDoubt) batch = batch.refuse(outcome)
            delay(backoff.delayAfter(failures++))
        }
    }

    /**
     * Completes a single entry as rejected, and sends several ones again one by one. The sequence number is still free:
     * the store judges the bytes of an append, so that it has accepted none of the attempts.
     */
    private suspend fun reject(batch: List<Entry>, outcome: TopicAppendResult.Rejected) {
        if (batch.size > 1) return batch.forEach { appendBatch(listOf(it)) }
        recordRejection(batch.single().records, outcome)
        batch.single().outcome.complete(outcome)
    }

    /** An unexpected error says nothing about the store, so the outcome is in doubt and the batch is sent again. */
    @Suppress("TooGenericExceptionCaught")
    private suspend fun send(batch: List<Entry>): TopicAppendResult = try {
        log.append(topic, batch.flatMap { it.records }, AppendIdentity(producer, sequence))
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        TopicAppendResult.InDoubt("$e")
    }

    /** Completes the records of [offer] with [outcome] and returns the others. */
    private fun List<Entry>.refuse(outcome: TopicAppendResult): List<Entry> {
        val (refused, kept) = partition { it.mayRefuse }
        refused.forEach { it.outcome.complete(outcome) }
        return kept
    }

    private val TopicRecord.size: Int get() = key.length + (value?.size ?: 0) + RECORD_OVERHEAD

    private companion object {
        /** Maximum number of queued records; a fleet produces as many results in several seconds. */
        const val QUEUE_LIMIT = 4096

        /** Maximum bytes of one append, well below the store's limit for a call. */
        const val MAX_BATCH_BYTES = 1_000_000

        /** Bytes of the length fields of key and value. */
        const val RECORD_OVERHEAD = 8
    }
}
