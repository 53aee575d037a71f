package dev.vanillarun.cli.command

import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.table
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.cli.platform.LogScan
import dev.vanillarun.cli.platform.scan
import dev.vanillarun.core.config.ConfigHistory
import dev.vanillarun.core.config.HistoryEntry
import dev.vanillarun.core.log.StreamName
import kotlinx.serialization.Serializable

/** `vanillarun history`. */
internal class HistoryCommand : PlatformCommand("history", "Show the publications that the log still keeps") {
    override suspend fun run(deployment: Deployment): Answer = history(deployment)
}

/** The publications that the log keeps, the oldest first. */
internal suspend fun history(deployment: Deployment): Answer =
    when (val scan = deployment.log.scan(setOf(StreamName.Config))) {
        is LogScan.Unavailable -> unavailable("the log is away: ${scan.reason}; $LOG_AWAY")

        is LogScan.Records -> {
            val rows = ConfigHistory.of(scan.records, scan.from).map(::row)
            val text = table(
                listOf(listOf("OFFSET", "BASE", "VERDICT", "AUTHOR", "MESSAGE")) +
                    rows.map { listOf("${it.offset}", "${it.base}", it.verdict, it.author, it.message) },
            )
            Answer.of(ExitCode.OK, text, HistoryJson.serializer(), HistoryJson(scan.from.value, rows))
        }
    }

private fun row(entry: HistoryEntry) = HistoryRow(
    offset = entry.offset.value,
    base = entry.publication.base.value,
    verdict = entry.verdict.name.lowercase(),
    author = entry.publication.author,
    message = entry.publication.message,
)

@Serializable
private data class HistoryRow(
    val offset: Long,
    val base: Long,
    val verdict: String,
    val author: String,
    val message: String,
)

@Serializable
private data class HistoryJson(val from: Long, val publications: List<HistoryRow>)
