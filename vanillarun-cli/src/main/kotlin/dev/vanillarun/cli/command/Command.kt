package dev.vanillarun.cli.command

import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.OutputFormat
import dev.vanillarun.cli.output.failure
import dev.vanillarun.cli.output.render
import dev.vanillarun.cli.platform.Deployment
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.seconds

/** A command of the tool: parses its part of the command line and yields one answer. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String) : Subcommand(name, description) {
    private val output by option(ArgType.Choice<OutputFormat>(), "output", "o", "Form of the output")
        .default(OutputFormat.TEXT)

    /** The tool reads its command line first and runs the command afterwards. */
    override fun execute(): Unit = Unit

    /** Does the work, prints the answer and returns how the process ends. */
    fun runAndPrint(): ExitCode {
        val answer = runBlocking { run() }
        val text = answer.render(output)
        if (text.isNotEmpty()) println(text)
        return answer.exit
    }

    /** Does the work. */
    protected abstract suspend fun run(): Answer
}

/** A command that talks to a running system. */
internal abstract class PlatformCommand(name: String, description: String) : Command(name, description) {
    private val platform by option(
        ArgType.String,
        "platform",
        "p",
        "Base address of the platform, for instance http://10.0.0.2:7000 (default: $PLATFORM_VARIABLE)",
    )
    private val timeoutSeconds by option(
        ArgType.Int,
        "timeout-seconds",
        "t",
        "Longest wait for the log or an instance",
    ).default(Deployment.DEFAULT_PATIENCE.inWholeSeconds.toInt())

    override suspend fun run(): Answer {
        val base = platform ?: System.getenv(PLATFORM_VARIABLE)
            ?: return failure(ExitCode.USAGE, "usage", "give --platform or set $PLATFORM_VARIABLE")
        if (timeoutSeconds < 1) return failure(ExitCode.USAGE, "usage", "--timeout-seconds has to be 1 or more")
        return Deployment.use(base.trimEnd('/'), timeoutSeconds.seconds, ::run)
    }

    /** Does the work with [deployment]. */
    abstract suspend fun run(deployment: Deployment): Answer

    private companion object {
        const val PLATFORM_VARIABLE = "VANILLARUN_PLATFORM"
    }
}
