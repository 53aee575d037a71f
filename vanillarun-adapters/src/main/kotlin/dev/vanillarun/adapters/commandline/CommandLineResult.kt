package dev.vanillarun.adapters.commandline

import kotlinx.cli.ArgParser
import kotlin.system.exitProcess

/** Exit code of a process whose command line cannot be used. */
public const val EXIT_USAGE: Int = 2

/** What came of reading a command line. */
public sealed interface CommandLineResult {
    /** All options and arguments have their values. */
    public data object Parsed : CommandLineResult

    /** Help was asked for. */
    public data class Help(
        /** Usage of the program or of its command. */
        public val usage: String,
    ) : CommandLineResult

    /** An option or argument is unknown, wrong or missing. */
    public data class Wrong(
        /** What is wrong, then the usage. */
        public val message: String,
    ) : CommandLineResult
}

/** Reads [args] without ending the process. */
public fun ArgParser.read(args: Array<String>): CommandLineResult = try {
    onEnd { message, code ->
        throw ParserEnded(
            if (code ==
                0
            ) {
                CommandLineResult.Help(message)
            } else {
                CommandLineResult.Wrong(message)
            },
        )
    }
    parse(args)
    CommandLineResult.Parsed
} catch (e: ParserEnded) {
    e.outcome
}

/**
 * Reads [args]. Prints the usage and ends the process with 0 if help was asked for; prints what is wrong to standard
 * error and ends it with [EXIT_USAGE] if the command line cannot be used.
 */
public fun ArgParser.readOrExit(args: Array<String>): Unit = when (val outcome = read(args)) {
    is CommandLineResult.Parsed -> Unit

    is CommandLineResult.Help -> {
        println(outcome.usage)
        exitProcess(0)
    }

    is CommandLineResult.Wrong -> {
        System.err.println(outcome.message)
        exitProcess(EXIT_USAGE)
    }
}

private class ParserEnded(val outcome: CommandLineResult) : RuntimeException(null, null, false, false)

/** The parser ends the process by itself, with 127; its hook for another end is not part of its Kotlin interface. */
private fun ArgParser.onEnd(end: (String, Int) -> Nothing) {
    ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(this, end)
}
