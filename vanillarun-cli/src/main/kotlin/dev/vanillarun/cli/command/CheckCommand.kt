package dev.vanillarun.cli.command

import dev.vanillarun.adapters.commandline.PathArgument
import dev.vanillarun.adapters.config.CollectedConfig
import dev.vanillarun.adapters.config.ConfigCollector
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.problemAnswer
import kotlinx.cli.vararg
import kotlinx.serialization.Serializable

/** `vanillarun check DIR...`. */
internal class CheckCommand : Command("check", "Check configuration files and change nothing") {
    private val paths by argument(PathArgument, "DIR", "Directories or files to collect").vararg()

    override suspend fun run(): Answer = when (val outcome = ConfigCollector.collect(paths)) {
        is ReadOutcome.Rejected -> problemAnswer(outcome.problems)
        is ReadOutcome.Read -> summary(outcome.value)
    }

    private fun summary(collected: CollectedConfig): Answer {
        val config = collected.config
        val counts = CheckJson(
            files = collected.files,
            customers = config.customers.size,
            routes = config.routes.size,
            targets = config.targets.size,
        )
        val line = "ok: ${counts.files.size} files, ${counts.customers} customers, ${counts.routes} routes, " +
            "${counts.targets} targets"
        return Answer.of(ExitCode.OK, listOf(line), CheckJson.serializer(), counts)
    }
}

@Serializable
private data class CheckJson(val files: List<String>, val customers: Int, val routes: Int, val targets: Int)
