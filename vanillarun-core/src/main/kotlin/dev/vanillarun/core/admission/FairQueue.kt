package dev.vanillarun.core.admission

import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.time.Instant
import java.util.IdentityHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Queue with priority classes in configured order, and weighted fair queueing by work between the customers of a class.
 *
 * A class is served before the lower ones. While lower classes have queued requests they keep the share of capacity
 * given by the class's `yieldPercent`, at least [MIN_YIELD_PERCENT], so that no class starves. A customer may hold at
 * most as many places as are still free, so a customer that floods the queue never takes the last place. A request
 * that cannot finish before its deadline by the current estimates is refused at once.
 *
 * Mutable and not thread-safe: one coroutine owns it, or a lock guards it.
 */
public class FairQueue<T>(
    priorities: List<PriorityClass>,
    private val limit: Int,
    weightOf: (CustomerId) -> Int = { 1 },
) : AdmissionQueue<T> {
    private class Level<T>(val name: String, val yieldShare: Double, val requests: PriorityClassQueue<T>) {
        /** Tokens that lower classes may still be served before this class is served again. */
        var credit = 0.0
    }

    private val levels: List<Level<T>> =
        priorities.ifEmpty { listOf(PriorityClass("")) }.map {
            val percent = it.yieldPercent.coerceIn(MIN_YIELD_PERCENT, MAX_YIELD_PERCENT)
            Level(it.name, percent / PERCENT, PriorityClassQueue(weightOf))
        }
    private val ranks = levels.withIndex().associate { (rank, level) -> level.name to rank }
    private val dispatchedAt = IdentityHashMap<Ticket<T>, Instant>()
    private var drainRate = DrainRate()
    private var serviceTime = ServiceTime()

    override val size: Int get() = levels.sumOf { it.requests.size }

    override fun offer(ticket: Ticket<T>, now: Instant): Admission {
        val level = levels[rankOf(ticket)]
        val free = limit - size
        val wait = expectedWait(ticket)
        if (free <= 0 || (size > 0 && level.requests.queuedCountOf(ticket.customer) >= free)) {
            return Admission.Refused(RefusalReason.QUEUE_FULL, retryAfter(wait))
        }
        val latestStart = latestStart(ticket, now)
        if (latestStart != null && now + wait > latestStart) {
            return Admission.Refused(RefusalReason.DEADLINE, retryAfter(now + wait - latestStart))
        }
        level.requests.add(QueuedTicket(ticket, now, latestStart))
        return Admission.Queued
    }

    /** Reserves the estimated service time, but at most half of the time left: the estimate may be far too high. */
    private fun latestStart(ticket: Ticket<T>, now: Instant): Instant? =
        ticket.deadline?.let { it - minOf(serviceTime.upperEstimate, (it - now) / 2) }

    override fun poll(now: Instant, slowdown: Duration, affinityOf: (T) -> Affinity): PollResult<T>? {
        val eligible = { oldest: QueuedTicket<T>, backlog: Double ->
            slowdown <= Duration.ZERO || now - oldest.queuedAt >= slowdown || drainRate.timeFor(backlog) >= slowdown
        }
        val entry = next(0, affinityOf, eligible) ?: return null
        val ticket = entry.ticket
        if (entry.latestStart == null || now < entry.latestStart) {
            if (dispatchedAt.size >= MAX_TRACKED_DISPATCHES) dispatchedAt.clear()
            dispatchedAt[ticket] = now
            return PollResult.Run(ticket)
        }
        levels[rankOf(ticket)].requests.correct(ticket, actual = 0)
        return PollResult.Expired(ticket, retryAfter(expectedWait(ticket)))
    }

    override fun remove(item: T): Ticket<T>? = levels.firstNotNullOfOrNull { it.requests.remove(item) }

    override fun complete(ticket: Ticket<T>, actualWork: Long, now: Instant) {
        val since = dispatchedAt.remove(ticket)
        if (since != null && actualWork > 0) serviceTime = serviceTime.plusSample(now - since)
        drainRate = drainRate.plusCompleted(actualWork, now)
        levels[rankOf(ticket)].requests.correct(ticket, actualWork)
    }

    private fun rankOf(ticket: Ticket<T>): Int = ranks[ticket.priority] ?: levels.lastIndex

    private fun next(
        rank: Int,
        affinityOf: (T) -> Affinity,
        eligible: (QueuedTicket<T>, Double) -> Boolean,
    ): QueuedTicket<T>? {
        val level = levels.getOrNull(rank) ?: return null
        val lowerQueued = hasLowerQueued(rank)
        val yielded = if (lowerQueued && level.credit > 0) next(rank + 1, affinityOf, eligible) else null
        if (yielded != null) {
            level.credit -= yielded.ticket.work
            return yielded
        }
        val own = level.requests.next(affinityOf, eligible) ?: return next(rank + 1, affinityOf, eligible)
        level.credit =
            if (lowerQueued) level.credit + own.ticket.work * level.yieldShare / (1 - level.yieldShare) else 0.0
        return own
    }

    private fun hasLowerQueued(rank: Int): Boolean = (rank + 1..levels.lastIndex).any { !levels[it].requests.isEmpty }

    private fun expectedWait(ticket: Ticket<T>): Duration {
        val rank = rankOf(ticket)
        val own = levels[rank].requests.workAhead(ticket.customer, ticket.work)
        val higher = (0 until rank).sumOf { levels[it].requests.work.toDouble() }
        val leftShare = (0 until rank).fold(1.0) { share, i -> share * levels[i].yieldShare }
        return drainRate.timeFor(minOf(own + higher, own / leftShare))
    }

    private fun retryAfter(wait: Duration): Duration = wait.coerceAtLeast(MIN_RETRY_AFTER)

    private companion object {
        const val PERCENT = 100.0

        /** Dispatch times kept to measure service times; reached only if the owner does not call [complete]. */
        const val MAX_TRACKED_DISPATCHES = 100_000
        const val MIN_YIELD_PERCENT = 1
        const val MAX_YIELD_PERCENT = 90
        val MIN_RETRY_AFTER = 100.milliseconds
    }
}
