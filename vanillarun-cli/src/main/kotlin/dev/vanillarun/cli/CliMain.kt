package dev.vanillarun.cli

import dev.vanillarun.adapters.commandline.readOrExit
import dev.vanillarun.adapters.logging.JsonLogging
import dev.vanillarun.cli.command.CheckCommand
import dev.vanillarun.cli.command.Command
import dev.vanillarun.cli.command.DiffCommand
import dev.vanillarun.cli.command.DrainCommand
import dev.vanillarun.cli.command.EvacuateCommand
import dev.vanillarun.cli.command.HistoryCommand
import dev.vanillarun.cli.command.KeyCommand
import dev.vanillarun.cli.command.PublishCommand
import dev.vanillarun.cli.command.StatusCommand
import dev.vanillarun.cli.command.TargetsCommand
import dev.vanillarun.cli.command.TimelineCommand
import dev.vanillarun.cli.command.UsageCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Entry point of the operators' tool. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    JsonLogging.start()
    val commands = commands()
    val tool = ArgParser("vanillarun").apply { commands.forEach { subcommands(it) } }
    val command = commands.find { it.name == args.firstOrNull() }
    when {
        command != null -> {
            command.readOrExit(args.drop(1).toTypedArray())
            exitProcess(command.runAndPrint().code)
        }

        args.firstOrNull() in HELP -> tool.readOrExit(args)

        else -> {
            System.err.println("give one of ${commands.joinToString { it.name }}; see vanillarun --help")
            exitProcess(ExitCode.USAGE.code)
        }
    }
}

private fun commands(): List<Command> = listOf(
    CheckCommand(),
    PublishCommand(),
    StatusCommand(),
    DiffCommand(),
    HistoryCommand(),
    KeyCommand(),
    DrainCommand(),
    EvacuateCommand(),
    TimelineCommand(),
    TargetsCommand(),
    UsageCommand(),
)

private val HELP = listOf("--help", "-h")
