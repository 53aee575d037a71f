package dev.vanillarun.daemon.event

import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder

/** Records the event [name] for [request], linked to the event [cause]. Null attributes are omitted. */
internal fun EventRecorder.recordCallEvent(
    name: String,
    request: RequestId,
    cause: EventId?,
    vararg attributes: Pair<String, Any?>,
): EventId {
    val links = EventLinks(causedBy = listOfNotNull(cause), request = request.value)
    return record(name, links, attributes.mapNotNull { (key, value) -> value?.let { key to "$it" } }.toMap())
}
