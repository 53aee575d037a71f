package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Appends the records of one process to the log in batches.
 *
 * Records that arrive while an append is in flight form the next batch, so the number of appends does not grow with
 * the number of records. After the log refuses an append, further records are refused at once until its retry delay
 * has passed.
 */
public class LogAppender(
    private val log: PlatformLog,
    private val clock: MonotonicClock = SystemClock,
    private val maxBatch: Int = 256,
    private val batchDelay: Duration = 5.milliseconds,
    queueLimit: Int = 2048,
) {
    private class Pending(val record: NewRecord, val result: CompletableDeferred<AppendResult>)

    private val queue = Channel<Pending>(queueLimit)

    @Volatile
    private var lastRefusal: Refusal? = null

    private class Refusal(val until: Instant, val reason: String)

    /**
     * Appends one record; [AppendResult.Appended.first] is the offset of this record.
     *
     * After [AppendResult.InDoubt] the same [envelope] may be appended again: readers deduplicate records by id.
     */
    public suspend fun append(stream: StreamName, envelope: Envelope): AppendResult {
        currentRefusal()?.let { return it }
        val pending = Pending(NewRecord(stream, RecordCodec.encode(envelope)), CompletableDeferred())
        if (queue.trySend(pending).isFailure) return AppendResult.Refused("the append queue is full", batchDelay)
        return pending.result.await()
    }

    /** Sends queued records until the calling coroutine is cancelled; then refuses those still queued. */
    public suspend fun run(): Nothing {
        try {
            while (true) {
                appendBatch(nextBatch())
                delay(batchDelay)
            }
        } finally {
            queue.close()
            refuseQueued()
        }
    }

    private suspend fun nextBatch(): List<Pending> = buildList {
        add(queue.receive())
        while (size < maxBatch) add(queue.tryReceive().getOrNull() ?: break)
    }

    private suspend fun appendBatch(batch: List<Pending>) {
        var result: AppendResult = currentRefusal() ?: AppendResult.InDoubt("the append was interrupted")
        try {
            if (result !is AppendResult.Refused) result = log.append(batch.map { it.record })
        } finally {
            recordRefusal(result)
            batch.forEachIndexed { index, pending -> pending.result.complete(result.resultAt(index)) }
        }
    }

    private fun recordRefusal(result: AppendResult) {
        if (result is AppendResult.Refused && currentRefusal() == null) {
            lastRefusal = Refusal(clock.now() + result.retryAfter, result.reason)
        }
    }

    private fun currentRefusal(): AppendResult.Refused? {
        val lastRefusal = lastRefusal ?: return null
        val now = clock.now()
        return if (now < lastRefusal.until) AppendResult.Refused(lastRefusal.reason, lastRefusal.until - now) else null
    }

    private fun refuseQueued() {
        while (true) {
            val pending = queue.tryReceive().getOrNull() ?: return
            pending.result.complete(AppendResult.Refused("the process is stopping", batchDelay))
        }
    }

    private fun AppendResult.resultAt(index: Int): AppendResult =
        if (this is AppendResult.Appended) AppendResult.Appended(Offset(first.value + index)) else this
}
