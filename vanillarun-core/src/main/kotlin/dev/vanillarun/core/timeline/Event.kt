package dev.vanillarun.core.timeline

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId

/** Identity of an event: the process, its run, and the sequence number in that run. */
public data class EventId(
    /** Process that recorded the event. */
    public val process: InstanceId,
    /** Run of the process; a restart gets another one. */
    public val incarnation: Incarnation,
    /** Sequence number of the event within the run, from zero. */
    public val sequence: Long,
) {
    /** Text form for messages between processes: `process/incarnation/sequence`, read by [parse]. */
    override fun toString(): String = "$process/$incarnation/$sequence"

    /** Parses the text form. */
    public companion object {
        private const val PARTS = 3

        /** Parses the text form [text]; null if it does not have three parts or its sequence number is invalid. */
        public fun parse(text: String): EventId? {
            val parts = text.split('/')
            val sequence = parts.lastOrNull()?.toLongOrNull()
            if (parts.size != PARTS || sequence == null || sequence < 0) return null
            return EventId(InstanceId(parts[0]), Incarnation(parts[1]), sequence)
        }
    }
}

/** Causal links of an event, and the request, duty or sample that it concerns. */
public data class EventLinks(
    /** Direct causes in other processes, for instance the sending of a message that is received here. */
    public val causedBy: List<EventId> = emptyList(),
    /** Record that the process is about to append to the log. */
    public val appends: RecordId? = null,
    /** Record that the process has read from the log and applies. */
    public val applies: RecordId? = null,
    /** Log offset up to which the process has read. */
    public val offset: Offset? = null,
    /** Identity of the request concerned. */
    public val request: String? = null,
    /** Name of the duty concerned. */
    public val duty: String? = null,
    /** Sample concerned, as `trainer/step/group/index`, or the step, as `trainer/step`. */
    public val sample: String? = null,
)

/** An entry of the timeline: an observation or an action of a process. */
public data class Event(
    /** Unique identity, which other events may name as a cause. */
    public val id: EventId,
    /** Stable name of the kind of event, for instance `lease.acquired`. */
    public val name: String,
    /** Causal links, and the objects concerned. */
    public val links: EventLinks = EventLinks(),
    /** Further fields by name; must not contain secrets. */
    public val attributes: Map<String, String> = emptyMap(),
    /** Wall-clock time of the process, for display only; the order does not depend on it. */
    public val displayTime: String = "",
)

/** Records the events of one process, for instance in its log file. */
public fun interface EventRecorder {
    /** Records an event and returns its identity, which can be sent to other processes as a cause. */
    public fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId
}

/** Discards all events; every event gets the same placeholder identity. */
public object NoOpEventRecorder : EventRecorder {
    private val placeholder = EventId(InstanceId("none"), Incarnation("none"), sequence = 0)

    override fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId = placeholder
}

/** Records an event without attributes. */
public fun EventRecorder.record(name: String, links: EventLinks = EventLinks()): EventId =
    record(name, links, emptyMap())
