package dev.vanillarun.core.admission

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.time.Instant
import java.util.TreeSet

/** A queued ticket and the times that decide how long it may wait. */
internal class QueuedTicket<T>(
    val ticket: Ticket<T>,
    val queuedAt: Instant,
    /** Latest time at which the request may start; null if it has no deadline. */
    val latestStart: Instant?,
)

/**
 * Queued requests of one priority class, served by start-time fair queueing: each customer has a start tag, the virtual
 * time at which its earlier work ends, and the customer with the smallest tag is served first. A customer that was idle
 * starts at the current virtual time, so it neither accumulates credit nor is penalised for the idle time.
 *
 * Not thread-safe.
 */
internal class PriorityClassQueue<T>(private val weightOf: (CustomerId) -> Int) {
    private class Flow<T>(val customer: CustomerId, val order: Long) {
        val queued = ArrayDeque<QueuedTicket<T>>()
        var startTag = 0.0
        var skipCount = 0
        var work = 0L
    }

    private val flows = HashMap<CustomerId, Flow<T>>()
    private val active = TreeSet<Flow<T>>(compareBy<Flow<T>> { it.startTag }.thenBy { it.order })
    private var virtualTime = 0.0

    var size = 0
        private set

    var work = 0L
        private set

    val isEmpty: Boolean get() = size == 0

    fun queuedCountOf(customer: CustomerId): Int = flows[customer]?.queued?.size ?: 0

    fun add(entry: QueuedTicket<T>) {
        val ticket = entry.ticket
        val flow = flows.getOrPut(ticket.customer) { Flow(ticket.customer, flows.size.toLong()) }
        if (flow.queued.isEmpty()) {
            flow.startTag = maxOf(flow.startTag, virtualTime)
            active.add(flow)
        }
        flow.queued.addLast(entry)
        updateTotals(flow, 1, ticket.work)
    }

    /**
     * Removes the next request of the first customer, by start tag, that is [eligible] to be served now. The arguments
     * of [eligible] are the customer's oldest request and the tokens served in the class until its backlog ends.
     */
    fun next(affinityOf: (T) -> Affinity, eligible: (QueuedTicket<T>, Double) -> Boolean): QueuedTicket<T>? {
        val flow = active.firstOrNull { eligible(it.queued.first(), backlog(it)) } ?: return null
        active.remove(flow)
        val entry = flow.take(affinityOf)
        val ticket = entry.ticket
        virtualTime = maxOf(virtualTime, flow.startTag)
        flow.startTag += cost(ticket.customer, ticket.work)
        updateTotals(flow, -1, -ticket.work)
        if (flow.queued.isNotEmpty()) active.add(flow)
        return entry
    }

    private fun backlog(flow: Flow<T>): Double = (flow.work - flow.queued.first().ticket.work).toDouble() * active.size

    /** Removes the request of best affinity among the oldest ones; the oldest once skipped [LOOKAHEAD] times. */
    private fun Flow<T>.take(affinityOf: (T) -> Affinity): QueuedTicket<T> {
        val window = if (skipCount >= LOOKAHEAD) 1 else minOf(LOOKAHEAD, queued.size)
        val chosen = bestOf(window, affinityOf)
        skipCount = if (chosen == 0) 0 else skipCount + 1
        return queued.removeAt(chosen)
    }

    private fun Flow<T>.bestOf(window: Int, affinityOf: (T) -> Affinity): Int {
        var chosen = 0
        var best = Affinity.ELSEWHERE
        for (i in 0 until window) {
            val affinity = affinityOf(queued[i].ticket.item)
            if (i == 0 || affinity < best) {
                chosen = i
                best = affinity
            }
            if (best == Affinity.CACHED) break
        }
        return chosen
    }

    fun remove(item: T): Ticket<T>? {
        val flow = active.firstOrNull { flow -> flow.queued.any { it.ticket.item == item } } ?: return null
        val entry = flow.queued.first { it.ticket.item == item }
        flow.queued.remove(entry)
        updateTotals(flow, -1, -entry.ticket.work)
        if (flow.queued.isEmpty()) active.remove(flow)
        return entry.ticket
    }

    /** Adjusts the start tag by the difference between the estimated work of [ticket] and [actual]. */
    fun correct(ticket: Ticket<T>, actual: Long) {
        val flow = flows[ticket.customer] ?: return
        val wasActive = active.remove(flow)
        flow.startTag += cost(ticket.customer, actual - ticket.work)
        if (wasActive) active.add(flow)
    }

    /** Upper bound of the tokens served before a new request of [customer] with [own] tokens starts. */
    fun workAhead(customer: CustomerId, own: Long): Double {
        val ownQueued = flows[customer]?.work ?: 0L
        val perWeight = (ownQueued + own).toDouble() / weight(customer)
        return ownQueued + active.sumOf { flow ->
            if (flow.customer == customer) 0.0 else minOf(flow.work.toDouble(), perWeight * weight(flow.customer))
        }
    }

    private fun updateTotals(flow: Flow<T>, count: Int, amount: Long) {
        size += count
        work += amount
        flow.work += amount
    }

    private fun cost(customer: CustomerId, amount: Long): Double = amount.toDouble() / weight(customer)

    private fun weight(customer: CustomerId): Int = weightOf(customer).coerceAtLeast(1)

    private companion object {
        /** Number of oldest requests of a customer compared by affinity, and how often the oldest may be skipped. */
        const val LOOKAHEAD = 64
    }
}
