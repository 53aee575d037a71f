package dev.vanillarun.cli.command

import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.table
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.cli.platform.LogScan
import dev.vanillarun.cli.platform.scan
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.log.applyRecord
import dev.vanillarun.core.usage.UsageReducer
import dev.vanillarun.core.usage.UsageState
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** `vanillarun usage`. */
internal class UsageCommand : PlatformCommand("usage", "Show usage windows and whether they are reported") {
    override suspend fun run(deployment: Deployment): Answer = usage(deployment)
}

/** Usage windows that the log still tells of, the oldest first, and the open one. */
internal suspend fun usage(deployment: Deployment): Answer =
    when (val scan = deployment.log.scan(setOf(StreamName.Usage))) {
        is LogScan.Unavailable -> unavailable("the log is away: ${scan.reason}; $LOG_AWAY")
        is LogScan.Records -> answer(scan)
    }

private fun answer(scan: LogScan.Records): Answer {
    val windows = sortedMapOf<Long, WindowRow>()
    val start = LogView(UsageReducer.begin(scan.from), scan.from)
    val end = scan.records.fold(start) { view, record ->
        UsageReducer.applyRecord(view, record).also { note(it.state, windows) }
    }
    val open = WindowRow(end.state.window, "open", end.state.open.map(UsageFigure::toJson))
    val json = UsageJson(end.state.whole, windows.values.toList() + open)
    val rows = json.windows.flatMap(WindowRow::lines)
    val text = table(listOf(listOf("WINDOW", "STATE", "CUSTOMER", "REQUESTS", "PROMPT", "GENERATED")) + rows)
    val gap = "the log lacks what came before; an instance will write a snapshot".takeUnless { json.whole }
    return Answer.of(ExitCode.OK, text + listOfNotNull(gap), UsageJson.serializer(), json)
}

/** A window is closed while the reducer keeps it, and reported once it no longer does. */
private fun note(state: UsageState, windows: MutableMap<Long, WindowRow>) {
    val closed = state.closed.associateBy { it.window }
    windows.replaceAll { number, row -> if (number in closed) row else row.copy(state = "reported") }
    closed.forEach { (number, window) ->
        windows[number] = WindowRow(number, "closed", window.figures.map(UsageFigure::toJson))
    }
}

private fun UsageFigure.toJson() = FigureJson(customer.value, requests, promptTokens, generatedTokens)

@Serializable
private data class FigureJson(
    val customer: String,
    val requests: Long,
    @SerialName("prompt_tokens") val promptTokens: Long,
    @SerialName("generated_tokens") val generatedTokens: Long,
)

@Serializable
private data class WindowRow(val window: Long, val state: String, val figures: List<FigureJson>) {
    fun lines(): List<List<String>> = figures.map {
        listOf("$window", state, it.customer, "${it.requests}", "${it.promptTokens}", "${it.generatedTokens}")
    }.ifEmpty { listOf(listOf("$window", state, "-", "0", "0", "0")) }
}

@Serializable
private data class UsageJson(val whole: Boolean, val windows: List<WindowRow>)
