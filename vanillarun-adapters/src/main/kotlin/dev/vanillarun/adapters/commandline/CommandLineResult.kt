package dev.vanillarun.adapters.commandline

import kotlinx.cli.ArgParser
import kotlin.system.exitProcess

/** Exit code of a process that was started with an invalid command line. */
public const val EXIT_USAGE: Int = 2

/** Result of parsing a command line. */
public sealed interface CommandLineResult {
    /** All options and arguments are valid and hold their values. */
    public data object Parsed : CommandLineResult

    /** The command line contains `--help`. */
    public data class Help(
        /** Usage text of the program or its subcommand. */
        public val usage: String,
    ) : CommandLineResult

    /** An option or argument is unknown, invalid or missing. */
    public data class Invalid(
        /** Error message, followed by the usage text. */
        public val message: String,
    ) : CommandLineResult
}

/** Parses [args] and returns the result, where [ArgParser.parse] would end the process on an error or `--help`. */
public fun ArgParser.read(args: Array<String>): CommandLineResult = try {
    onTermination { message, code ->
        throw ParserTermination(
            if (code ==
                0
            ) {
                CommandLineResult.Help(message)
            } else {
                CommandLineResult.Invalid(message)
            },
        )
    }
    parse(args)
    CommandLineResult.Parsed
} catch (e: ParserTermination) {
    e.outcome
}

/**
 * Parses [args]. On `--help` prints the usage and exits with 0; if the command line is invalid, prints the error to
 * standard error and exits with [EXIT_USAGE].
 */
public fun ArgParser.readOrExit(args: Array<String>): Unit = when (val outcome = read(args)) {
    is CommandLineResult.Parsed -> Unit

    is CommandLineResult.Help -> {
        println(outcome.usage)
        exitProcess(0)
    }

    is CommandLineResult.Invalid -> {
        System.err.println(outcome.message)
        exitProcess(EXIT_USAGE)
    }
}

private class ParserTermination(val outcome: CommandLineResult) : RuntimeException(null, null, false, false)

/** The parser exits with 127 by default; the hook that replaces this is not public in Kotlin, hence the reflection. */
private fun ArgParser.onTermination(terminate: (String, Int) -> Nothing) {
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, terminate)
}
