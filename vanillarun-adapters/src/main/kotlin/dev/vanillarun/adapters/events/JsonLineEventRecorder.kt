package dev.vanillarun.adapters.events

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicLong

/** Names of an event's fields in a JSON line; lines that hold events have [EVENT_LOGGER] as their logger name. */
internal object EventFields {
    const val EVENT = "event"
    const val PROCESS = "process"
    const val INCARNATION = "incarnation"
    const val SEQUENCE = "sequence"
    const val CAUSED_BY = "caused_by"
    const val APPENDS = "appends"
    const val APPLIES = "applies"
    const val OFFSET = "offset"
    const val REQUEST = "request"
    const val DUTY = "duty"
    const val SAMPLE = "sample"
}

internal const val EVENT_LOGGER = "dev.vanillarun.events"

/**
 * Writes the events of this process to the log as JSON lines, with consecutive sequence numbers from 0.
 *
 * ```
 * val events = JsonLineEventRecorder(InstanceId("torino-1"), incarnation)
 * events.record("lease.acquired", EventLinks(duty = "usage"))
 * ```
 */
public class JsonLineEventRecorder(private val process: InstanceId, private val incarnation: Incarnation) :
    EventRecorder {
    private val sequence = AtomicLong()
    private val logger = KotlinLogging.logger(EVENT_LOGGER)

    override fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId {
        val id = EventId(process, incarnation, sequence.getAndIncrement())
        logger.atInfo {
            message = name
            payload = attributes + id.fields(name) + links.fields()
        }
        return id
    }

    private fun EventId.fields(name: String): Map<String, Any> = mapOf(
        EventFields.EVENT to name,
        EventFields.PROCESS to process.value,
        EventFields.INCARNATION to incarnation.value,
        EventFields.SEQUENCE to sequence,
    )

    private fun EventLinks.fields(): Map<String, Any> = buildMap {
        if (causedBy.isNotEmpty()) put(EventFields.CAUSED_BY, causedBy.map(EventId::toString))
        appends?.let { put(EventFields.APPENDS, it.text()) }
        applies?.let { put(EventFields.APPLIES, it.text()) }
        offset?.let { put(EventFields.OFFSET, it.value) }
        request?.let { put(EventFields.REQUEST, it) }
        duty?.let { put(EventFields.DUTY, it) }
        sample?.let { put(EventFields.SAMPLE, it) }
    }
}
