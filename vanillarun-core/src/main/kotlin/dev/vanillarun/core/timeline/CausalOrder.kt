package dev.vanillarun.core.timeline

import java.util.PriorityQueue

/** Result of ordering events causally. */
public data class Timeline(
    /** Events in topological order: each one after all of its causes. Contains all events but [cyclic]. */
    public val events: List<Event>,
    /** Events on a cycle of causes, or that depend on one; empty unless a process recorded inconsistent causes. */
    public val cyclic: List<Event> = emptyList(),
    /** Identities that events name as causes but that are not among the given events. */
    public val missingCauses: Set<EventId> = emptySet(),
)

/**
 * Sorts the events of many processes into one causal order.
 *
 * An event follows the earlier events of its process run, the causes that it names, and the append of the record that
 * it applies. Concurrent events are sorted by the log offset that their process had read, lowest first, and then by
 * identity. The result depends neither on the order of the input nor on any clock.
 */
public object CausalOrder {
    /** Orders [events]; of several events with one identity, one is kept. */
    public fun of(events: Collection<Event>): Timeline {
        val byId = events.associateBy(Event::id)
        val graph = Graph(byId)
        val order = graph.sort()
        val orderedIds = order.mapTo(HashSet()) { it.id }
        val missing = byId.values.flatMap { it.links.causedBy }.filterNot { it in byId }
        return Timeline(
            events = order,
            cyclic = byId.values.filterNot { it.id in orderedIds }.sortedWith(byIdentity),
            missingCauses = missing.toSet(),
        )
    }

    internal val byIdentity: Comparator<Event> =
        compareBy({ it.id.process.value }, { it.id.incarnation.value }, { it.id.sequence })
}

private class Graph(private val byId: Map<EventId, Event>) {
    private val successors = HashMap<EventId, MutableSet<EventId>>()
    private val indegree = HashMap<EventId, Int>()
    private val readOffsets = HashMap<EventId, Long>()

    init {
        byId.keys.forEach { indegree[it] = 0 }
        linkProcessRuns()
        byId.values.forEach { event -> event.links.causedBy.forEach { link(it, event.id) } }
        linkAppendsToApplies()
    }

    private fun linkProcessRuns() {
        for (run in byId.values.groupBy { it.id.process to it.id.incarnation }.values) {
            val ordered = run.sortedBy { it.id.sequence }
            ordered.zipWithNext { first, second -> link(first.id, second.id) }
            ordered.fold(-1L) { seen, event ->
                maxOf(seen, event.links.offset?.value ?: -1).also { readOffsets[event.id] = it }
            }
        }
    }

    private fun linkAppendsToApplies() {
        val appends = byId.values.filter { it.links.appends != null }
            .groupBy { it.links.appends }
            .mapValues { (_, attempts) -> attempts.minWith(CausalOrder.byIdentity) }
        for (event in byId.values) {
            event.links.applies?.let(appends::get)?.let { link(it.id, event.id) }
        }
    }

    private fun link(cause: EventId, effect: EventId) {
        if (cause !in byId) return
        if (successors.getOrPut(cause, ::LinkedHashSet).add(effect)) indegree.merge(effect, 1, Int::plus)
    }

    fun sort(): List<Event> {
        val ready = PriorityQueue(compareBy<Event> { readOffsets.getValue(it.id) }.then(CausalOrder.byIdentity))
        byId.values.filterTo(ready) { indegree.getValue(it.id) == 0 }
        val order = ArrayList<Event>(byId.size)
        while (ready.isNotEmpty()) {
            val event = ready.remove()
            order += event
            for (effect in successors[event.id].orEmpty()) {
                if (indegree.merge(effect, -1, Int::plus) == 0) ready += byId.getValue(effect)
            }
        }
        return order
    }
}
