package dev.vanillarun.cli.command

import dev.vanillarun.adapters.commandline.PathArgument
import dev.vanillarun.adapters.config.ConfigCollector
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.problemAnswer
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.core.config.ConfigDiff
import dev.vanillarun.core.config.ConfigDifference
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.log.Offset
import kotlinx.cli.vararg
import kotlinx.serialization.Serializable
import java.nio.file.Path

/** `vanillarun diff DIR...`. */
internal class DiffCommand : PlatformCommand("diff", "Show how files differ from the configuration in force") {
    private val paths by argument(PathArgument, "DIR", "Directories or files to collect").vararg()

    override suspend fun run(deployment: Deployment): Answer = diff(deployment, paths)
}

/** How the configuration below [paths] differs from the one in force. */
internal suspend fun diff(deployment: Deployment, paths: List<Path>): Answer {
    val collected = when (val outcome = ConfigCollector.collect(paths)) {
        is ReadOutcome.Rejected -> return problemAnswer(outcome.problems)
        is ReadOutcome.Read -> outcome.value
    }
    return when (val current = deployment.publisher.current()) {
        is CurrentConfig.Unavailable -> unavailable("the log is away: ${current.reason}; $LOG_AWAY")
        is CurrentConfig.Unanchored -> unavailable(UNANCHORED)
        is CurrentConfig.Known -> diffAnswer(current, collected.config)
    }
}

private fun diffAnswer(current: CurrentConfig.Known, config: RolloutConfig): Answer {
    val changes = changesFrom(current, config)
    val base = current.offset()
    val text = changes.map(ConfigDifference::line).ifEmpty { listOf("no difference from the configuration at $base") }
    val exit = if (changes.isEmpty()) ExitCode.OK else ExitCode.PROBLEM
    return Answer.of(exit, text, DiffJson.serializer(), DiffJson(base, changes.map(ConfigDifference::line)))
}

@Serializable
private data class DiffJson(val base: Long, val changes: List<String>)

/** What an operator can do where the log does not answer. */
internal const val LOG_AWAY: String = "bring the platform back, or wait longer with --timeout-seconds, and try again"

/** What an operator is told where no snapshot is left in the log. */
internal const val UNANCHORED: String =
    "the log keeps no configuration to build on; start an instance that still has one, and try again"

/** Position of the publication in force, -1 without one. */
internal fun CurrentConfig.Known.offset(): Long = (inForce?.publication ?: Offset.None).value

/** Changes that lead from what is in force to [config]. */
internal fun changesFrom(current: CurrentConfig.Known, config: RolloutConfig): List<ConfigDifference> =
    ConfigDiff.between(current.inForce?.config ?: RolloutConfig(), config)

/** One line for a person. */
internal fun ConfigDifference.line(): String = when (this) {
    is ConfigDifference.Added -> "+ $subject"
    is ConfigDifference.Removed -> "- $subject"
    is ConfigDifference.Changed -> "~ $subject: $before -> $after"
}
