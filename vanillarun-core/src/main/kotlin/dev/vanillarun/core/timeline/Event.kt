package dev.vanillarun.core.timeline

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId

/** Identity of an event: the process, its run, and the event's number in that run. */
public data class EventId(
    /** Process that saw the event. */
    public val process: InstanceId,
    /** Run of the process. */
    public val incarnation: Incarnation,
    /** Number of the event within the run, from zero. */
    public val sequence: Long,
) {
    /** Text form, which travels between processes: `process/incarnation/sequence`. */
    override fun toString(): String = "$process/$incarnation/$sequence"

    /** Reading of the text form. */
    public companion object {
        private const val PARTS = 3

        /** The identity whose text form is [text], or null. */
        public fun parse(text: String): EventId? {
            val parts = text.split('/')
            val sequence = parts.lastOrNull()?.toLongOrNull()
            if (parts.size != PARTS || sequence == null || sequence < 0) return null
            return EventId(InstanceId(parts[0]), Incarnation(parts[1]), sequence)
        }
    }
}

/** What ties an event to others and to the things it concerns. */
public data class EventLinks(
    /** Events of other processes that led to this one, for instance the sending of the message received here. */
    public val causedBy: List<EventId> = emptyList(),
    /** Record that the process is about to append. */
    public val appends: RecordId? = null,
    /** Record that the process has read and acts on. */
    public val applies: RecordId? = null,
    /** Position in the log that the process has read up to. */
    public val offset: Offset? = null,
    /** Request concerned. */
    public val request: String? = null,
    /** Duty concerned. */
    public val duty: String? = null,
    /** Sample concerned, as `trainer/step/group/index`. */
    public val sample: String? = null,
)

/** Something that a process saw or did. */
public data class Event(
    /** Identity. */
    public val id: EventId,
    /** Stable name, for instance `lease.acquired`. */
    public val name: String,
    /** Ties to other events. */
    public val links: EventLinks = EventLinks(),
    /** Further values; never a secret. */
    public val attributes: Map<String, String> = emptyMap(),
    /** Wall-clock time of the process, for display only. */
    public val displayTime: String = "",
)

/** Takes the events of one process, for instance into its log. */
public fun interface EventRecorder {
    /** Records an event and returns its identity, which may travel to other processes as a cause. */
    public fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId
}

/** Drops all events. */
public object NoOpEventRecorder : EventRecorder {
    private val nothing = EventId(InstanceId("none"), Incarnation("none"), sequence = 0)

    override fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId = nothing
}

/** Records an event with ties but without further values. */
public fun EventRecorder.record(name: String, links: EventLinks = EventLinks()): EventId =
    record(name, links, emptyMap())
