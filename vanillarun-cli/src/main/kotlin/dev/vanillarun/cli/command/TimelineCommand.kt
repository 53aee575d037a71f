package dev.vanillarun.cli.command

import dev.vanillarun.adapters.commandline.PathArgument
import dev.vanillarun.adapters.events.EventFileReader
import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.failure
import dev.vanillarun.cli.output.table
import dev.vanillarun.core.timeline.CausalOrder
import dev.vanillarun.core.timeline.Event
import dev.vanillarun.core.timeline.EventFilter
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.Timeline
import dev.vanillarun.core.timeline.filter
import kotlinx.cli.ArgType
import kotlinx.cli.vararg
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** `vanillarun timeline FILE...`. */
internal class TimelineCommand : Command("timeline", "Put the events of all processes into one causal order") {
    private val request by option(ArgType.String, "request", "r", "Only this request")
    private val duty by option(ArgType.String, "duty", "d", "Only this duty")
    private val sample by option(ArgType.String, "sample", "s", "Only this sample: TRAINER[/STEP[/GROUP[/INDEX]]]")
    private val files by argument(PathArgument, "FILE", "Log files of the processes, JSON lines").vararg()

    override suspend fun run(): Answer = timeline(files, EventFilter(request, duty, sample))
}

/** The events in [files] that [filter] lets through, in causal order. */
internal fun timeline(files: List<Path>, filter: EventFilter): Answer = try {
    val events = files.flatMap { file -> Files.lines(file).use { EventFileReader.read(it.iterator().asSequence()) } }
    answer(CausalOrder.of(events).filter(filter))
} catch (e: IOException) {
    failure(ExitCode.USAGE, "unreadable_file", "cannot read ${e.message} (${e::class.simpleName})")
}

private fun answer(timeline: Timeline): Answer {
    val rows = timeline.events.map(::row)
    val text =
        table(listOf(listOf("EVENT", "PROCESS", "SEQ", "OFFSET", "CONCERNS", "VALUES")) + rows.map(EventRow::cells))
    val warnings = listOfNotNull(
        "cycle: ${timeline.cyclic.joinToString { "${it.id}" }}".takeIf { timeline.cyclic.isNotEmpty() },
        "no file holds these causes: ${timeline.missingCauses.joinToString()}"
            .takeIf { timeline.missingCauses.isNotEmpty() },
    )
    val json = TimelineJson(
        events = rows,
        cyclic = timeline.cyclic.map { "${it.id}" },
        missingCauses = timeline.missingCauses.map(EventId::toString),
    )
    val exit = if (timeline.cyclic.isEmpty()) ExitCode.OK else ExitCode.PROBLEM
    return Answer.of(exit, text + warnings, TimelineJson.serializer(), json)
}

private fun row(event: Event) = EventRow(
    event = event.name,
    process = event.id.process.value,
    incarnation = event.id.incarnation.value,
    sequence = event.id.sequence,
    offset = event.links.offset?.value,
    request = event.links.request,
    duty = event.links.duty,
    sample = event.links.sample,
    causedBy = event.links.causedBy.map(EventId::toString),
    values = event.attributes,
    displayTime = event.displayTime,
)

@Serializable
private data class EventRow(
    val event: String,
    val process: String,
    val incarnation: String,
    val sequence: Long,
    val offset: Long?,
    val request: String?,
    val duty: String?,
    val sample: String?,
    @SerialName("caused_by") val causedBy: List<String>,
    val values: Map<String, String>,
    @SerialName("display_time") val displayTime: String,
) {
    fun cells(): List<String> {
        val concerns = listOfNotNull(
            request?.let { "request=$it" },
            duty?.let { "duty=$it" },
            sample?.let { "sample=$it" },
        )
        return listOf(
            event,
            process,
            "$sequence",
            offset?.toString() ?: "-",
            concerns.joinToString(" ").ifEmpty { "-" },
            values.entries.joinToString(" ") { "${it.key}=${it.value}" },
        )
    }
}

@Serializable
private data class TimelineJson(
    val events: List<EventRow>,
    val cyclic: List<String>,
    @SerialName("missing_causes") val missingCauses: List<String>,
)
