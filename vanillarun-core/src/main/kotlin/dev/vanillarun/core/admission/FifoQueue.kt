package dev.vanillarun.core.admission

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** First-in, first-out queue: the baseline for comparisons. Ignores customers, priorities, deadlines and affinity. */
public class FifoQueue<T>(private val limit: Int) : AdmissionQueue<T> {
    private val waiting = ArrayDeque<Ticket<T>>()

    override val size: Int get() = waiting.size

    override fun offer(ticket: Ticket<T>, now: Instant): Admission {
        if (waiting.size >= limit) return Admission.Refused(RefusalReason.QUEUE_FULL, RETRY_AFTER)
        waiting.addLast(ticket)
        return Admission.Queued
    }

    override fun poll(now: Instant, slowdown: Duration, affinityOf: (T) -> Affinity): PollResult<T>? =
        waiting.removeFirstOrNull()?.let { PollResult.Run(it) }

    override fun remove(item: T): Ticket<T>? =
        waiting.firstOrNull { it.item == item }?.also { found -> waiting.removeAll { it === found } }

    override fun complete(ticket: Ticket<T>, actualWork: Long, now: Instant): Unit = Unit

    private companion object {
        val RETRY_AFTER = 1.seconds
    }
}
