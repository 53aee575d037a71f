package dev.vanillarun.core.admission

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.time.Instant
import java.util.TreeSet

/** A ticket in a queue. */
internal class Waiting<T>(
    val ticket: Ticket<T>,
    val since: Instant,
    /** When it must be started at the latest; null if it has no deadline. */
    val latestStart: Instant?,
)

/**
 * The waiting requests of one priority class, served by start-time fair queueing: each customer's requests are tagged
 * with the virtual time at which the customer's earlier work ends, and the least tag goes first. A customer that was
 * idle starts at the present virtual time, so it neither saves up service nor pays for its absence.
 *
 * Not safe for use from several threads.
 */
internal class PriorityClassQueue<T>(private val weightOf: (CustomerId) -> Int) {
    private class Flow<T>(val customer: CustomerId, val order: Long) {
        val waiting = ArrayDeque<Waiting<T>>()
        var start = 0.0
        var passedOver = 0
        var work = 0L
    }

    private val flows = HashMap<CustomerId, Flow<T>>()
    private val active = TreeSet<Flow<T>>(compareBy<Flow<T>> { it.start }.thenBy { it.order })
    private var virtualTime = 0.0

    var size = 0
        private set

    var work = 0L
        private set

    val isEmpty: Boolean get() = size == 0

    fun waitingOf(customer: CustomerId): Int = flows[customer]?.waiting?.size ?: 0

    fun add(entry: Waiting<T>) {
        val ticket = entry.ticket
        val flow = flows.getOrPut(ticket.customer) { Flow(ticket.customer, flows.size.toLong()) }
        if (flow.waiting.isEmpty()) {
            flow.start = maxOf(flow.start, virtualTime)
            active.add(flow)
        }
        flow.waiting.addLast(entry)
        account(flow, 1, ticket.work)
    }

    /**
     * Takes out the next request of the first customer in turn that is willing to be served now. That is for [willing]
     * to say, from the customer's oldest request and the work that the class does before the rest of its backlog ends.
     */
    fun next(affinityOf: (T) -> Affinity, willing: (Waiting<T>, Double) -> Boolean): Waiting<T>? {
        val flow = active.firstOrNull { willing(it.waiting.first(), backlog(it)) } ?: return null
        active.remove(flow)
        val entry = flow.take(affinityOf)
        val ticket = entry.ticket
        virtualTime = maxOf(virtualTime, flow.start)
        flow.start += cost(ticket.customer, ticket.work)
        account(flow, -1, -ticket.work)
        if (flow.waiting.isNotEmpty()) active.add(flow)
        return entry
    }

    private fun backlog(flow: Flow<T>): Double = (flow.work - flow.waiting.first().ticket.work).toDouble() * active.size

    /** The best ranked of the oldest requests; the oldest itself after it was passed over [LOOKAHEAD] times. */
    private fun Flow<T>.take(affinityOf: (T) -> Affinity): Waiting<T> {
        val window = if (passedOver >= LOOKAHEAD) 1 else minOf(LOOKAHEAD, waiting.size)
        val chosen = bestOf(window, affinityOf)
        passedOver = if (chosen == 0) 0 else passedOver + 1
        return waiting.removeAt(chosen)
    }

    private fun Flow<T>.bestOf(window: Int, affinityOf: (T) -> Affinity): Int {
        var chosen = 0
        var best = Affinity.ELSEWHERE
        for (i in 0 until window) {
            val affinity = affinityOf(waiting[i].ticket.item)
            if (i == 0 || affinity < best) {
                chosen = i
                best = affinity
            }
            if (best == Affinity.CACHED) break
        }
        return chosen
    }

    fun remove(item: T): Ticket<T>? {
        val flow = active.firstOrNull { flow -> flow.waiting.any { it.ticket.item == item } } ?: return null
        val entry = flow.waiting.first { it.ticket.item == item }
        flow.waiting.remove(entry)
        account(flow, -1, -entry.ticket.work)
        if (flow.waiting.isEmpty()) active.remove(flow)
        return entry.ticket
    }

    /** Charges the difference between the work that was expected of [ticket] and [actual]. */
    fun correct(ticket: Ticket<T>, actual: Long) {
        val flow = flows[ticket.customer] ?: return
        val queued = active.remove(flow)
        flow.start += cost(ticket.customer, actual - ticket.work)
        if (queued) active.add(flow)
    }

    /** Upper estimate of the work that is served before a new request of [customer] with [own] tokens. */
    fun workAhead(customer: CustomerId, own: Long): Double {
        val mine = flows[customer]?.work ?: 0L
        val perWeight = (mine + own).toDouble() / weight(customer)
        return mine + active.sumOf { flow ->
            if (flow.customer == customer) 0.0 else minOf(flow.work.toDouble(), perWeight * weight(flow.customer))
        }
    }

    private fun account(flow: Flow<T>, count: Int, amount: Long) {
        size += count
        work += amount
        flow.work += amount
    }

    private fun cost(customer: CustomerId, amount: Long): Double = amount.toDouble() / weight(customer)

    private fun weight(customer: CustomerId): Int = weightOf(customer).coerceAtLeast(1)

    private companion object {
        /** Requests of a customer among which the best ranked is sought, and times that the oldest is passed over. */
        const val LOOKAHEAD = 64
    }
}
