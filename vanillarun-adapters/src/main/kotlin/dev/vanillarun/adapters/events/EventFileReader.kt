package dev.vanillarun.adapters.events

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.timeline.Event
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventLinks
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** Reads the events that [JsonLineEventRecorder] wrote to a JSON log; other lines of the log are skipped. */
public object EventFileReader {
    private val reservedFields = setOf(
        EventFields.EVENT, EventFields.PROCESS, EventFields.INCARNATION, EventFields.SEQUENCE, EventFields.CAUSED_BY,
        EventFields.APPENDS, EventFields.APPLIES, EventFields.OFFSET, EventFields.REQUEST, EventFields.DUTY,
        EventFields.SAMPLE, "@timestamp", "@version", "message", "logger_name", "thread_name", "level", "level_value",
    )

    /** Events among [lines], in the order of the lines. */
    public fun read(lines: Sequence<String>): List<Event> = lines.mapNotNull(::readLine).toList()

    /** Event in [line], or null if the line is not JSON or has no event name or identity. */
    public fun readLine(line: String): Event? {
        val json = parse(line) ?: return null
        return Event(
            id = eventId(json) ?: return null,
            name = json.text(EventFields.EVENT) ?: return null,
            links = links(json),
            attributes = json.filterKeys { it !in reservedFields }.mapValues { (_, value) -> plainText(value) },
            displayTime = json.text("@timestamp").orEmpty(),
        )
    }

    private fun eventId(json: JsonObject): EventId? {
        val process = json.text(EventFields.PROCESS) ?: return null
        val incarnation = json.text(EventFields.INCARNATION) ?: return null
        val sequence = json.number(EventFields.SEQUENCE) ?: return null
        return EventId(InstanceId(process), Incarnation(incarnation), sequence)
    }

    private fun parse(line: String): JsonObject? = try {
        if (line.startsWith("{")) Json.parseToJsonElement(line) as? JsonObject else null
    } catch (_: SerializationException) {
        null
    }

    private fun links(json: JsonObject) = EventLinks(
        causedBy = (json[EventFields.CAUSED_BY] as? JsonArray).orEmpty()
            .mapNotNull { cause -> (cause as? JsonPrimitive)?.contentOrNull?.let(EventId::parse) },
        appends = json.text(EventFields.APPENDS)?.let(::recordId),
        applies = json.text(EventFields.APPLIES)?.let(::recordId),
        offset = json.number(EventFields.OFFSET)?.let(::Offset),
        request = json.text(EventFields.REQUEST),
        duty = json.text(EventFields.DUTY),
        sample = json.text(EventFields.SAMPLE),
    )

    private fun JsonObject.text(key: String): String? = (this[key] as? JsonPrimitive)?.contentOrNull

    private fun JsonObject.number(key: String): Long? = (this[key] as? JsonPrimitive)?.longOrNull

    private fun plainText(value: Any): String = (value as? JsonPrimitive)?.contentOrNull ?: value.toString()
}

/** Text form of a record id, in the same format as an event id. */
internal fun RecordId.text(): String = EventId(writer, incarnation, sequence).toString()

private fun recordId(text: String): RecordId? =
    EventId.parse(text)?.let { RecordId(it.process, it.incarnation, it.sequence) }
