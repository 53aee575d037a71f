package dev.vanillarun.core.admission

import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.time.Instant
import java.util.IdentityHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Queue with priority classes in the deployment's order and weighted fair queueing by work between the customers of a
 * class.
 *
 * A class goes before the lower ones, which keep the part of capacity that the class's `yieldPercent` leaves them while
 * they wait; it is never less than [LEAST_YIELD_PERCENT], so that none starves. A customer may fill at most as many
 * places as are free, so one that floods never takes the last place from the others. A request whose expected wait ends
 * after its deadline is refused at once.
 *
 * Mutable, owned by one coroutine or lock.
 */
public class FairQueue<T>(
    priorities: List<PriorityClass>,
    private val limit: Int,
    weightOf: (CustomerId) -> Int = { 1 },
) : AdmissionQueue<T> {
    private class Level<T>(val name: String, val yieldShare: Double, val requests: PriorityClassQueue<T>) {
        /** Work that the lower classes may be served before this class again. */
        var credit = 0.0
    }

    private val levels: List<Level<T>> =
        priorities.ifEmpty { listOf(PriorityClass("")) }.map {
            val percent = it.yieldPercent.coerceIn(LEAST_YIELD_PERCENT, GREATEST_YIELD_PERCENT)
            Level(it.name, percent / PERCENT, PriorityClassQueue(weightOf))
        }
    private val ranks = levels.withIndex().associate { (rank, level) -> level.name to rank }
    private val running = IdentityHashMap<Ticket<T>, Instant>()
    private var rate = DrainRate()
    private var service = ServiceTime()

    override val size: Int get() = levels.sumOf { it.requests.size }

    override fun offer(ticket: Ticket<T>, now: Instant): Admission {
        val level = levels[rank(ticket)]
        val free = limit - size
        val wait = expectedWait(ticket)
        if (free <= 0 || (size > 0 && level.requests.waitingOf(ticket.customer) >= free)) {
            return Admission.Refused(RefusalReason.QUEUE_FULL, retryAfter(wait))
        }
        val latestStart = latestStart(ticket, now)
        if (latestStart != null && now + wait > latestStart) {
            return Admission.Refused(RefusalReason.DEADLINE, retryAfter(now + wait - latestStart))
        }
        level.requests.add(Waiting(ticket, now, latestStart))
        return Admission.Queued
    }

    /** Leaves time for the service, but never more than half of what there is: an estimate may be far too high. */
    private fun latestStart(ticket: Ticket<T>, now: Instant): Instant? =
        ticket.deadline?.let { it - minOf(service.high, (it - now) / 2) }

    override fun poll(now: Instant, slowdown: Duration, rank: (T) -> Affinity): PollResult<T>? {
        val willing = { oldest: Waiting<T>, backlog: Double ->
            slowdown <= Duration.ZERO || now - oldest.since >= slowdown || rate.timeFor(backlog) >= slowdown
        }
        val entry = next(0, rank, willing) ?: return null
        val ticket = entry.ticket
        if (entry.latestStart == null || now < entry.latestStart) {
            if (running.size >= GREATEST_RUNNING) running.clear()
            running[ticket] = now
            return PollResult.Run(ticket)
        }
        levels[rank(ticket)].requests.correct(ticket, actual = 0)
        return PollResult.Expired(ticket, retryAfter(expectedWait(ticket)))
    }

    override fun remove(item: T): Ticket<T>? = levels.firstNotNullOfOrNull { it.requests.remove(item) }

    override fun complete(ticket: Ticket<T>, actualWork: Long, now: Instant) {
        val since = running.remove(ticket)
        if (since != null && actualWork > 0) service = service.observed(now - since)
        rate = rate.completed(actualWork, now)
        levels[rank(ticket)].requests.correct(ticket, actualWork)
    }

    private fun rank(ticket: Ticket<T>): Int = ranks[ticket.priority] ?: levels.lastIndex

    private fun next(number: Int, rank: (T) -> Affinity, willing: (Waiting<T>, Double) -> Boolean): Waiting<T>? {
        val level = levels.getOrNull(number) ?: return null
        val lowerWaits = lowerWaits(number)
        val yielded = if (lowerWaits && level.credit > 0) next(number + 1, rank, willing) else null
        if (yielded != null) {
            level.credit -= yielded.ticket.work
            return yielded
        }
        val own = level.requests.next(rank, willing) ?: return next(number + 1, rank, willing)
        level.credit =
            if (lowerWaits) level.credit + own.ticket.work * level.yieldShare / (1 - level.yieldShare) else 0.0
        return own
    }

    private fun lowerWaits(rank: Int): Boolean = (rank + 1..levels.lastIndex).any { !levels[it].requests.isEmpty }

    private fun expectedWait(ticket: Ticket<T>): Duration {
        val rank = rank(ticket)
        val own = levels[rank].requests.workAhead(ticket.customer, ticket.work)
        val higher = (0 until rank).sumOf { levels[it].requests.work.toDouble() }
        val kept = (0 until rank).fold(1.0) { part, i -> part * levels[i].yieldShare }
        return rate.timeFor(minOf(own + higher, own / kept))
    }

    private fun retryAfter(wait: Duration): Duration = wait.coerceAtLeast(LEAST_RETRY_AFTER)

    private companion object {
        const val PERCENT = 100.0

        /** Dispatches that are remembered to learn the time of service; more were never completed by the owner. */
        const val GREATEST_RUNNING = 100_000
        const val LEAST_YIELD_PERCENT = 1
        const val GREATEST_YIELD_PERCENT = 90
        val LEAST_RETRY_AFTER = 100.milliseconds
    }
}
