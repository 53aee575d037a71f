package dev.vanillarun.standin.http

import dev.vanillarun.standin.journal.Journal
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Flags that every stand-in process has. */
internal class ListenFlags(parser: ArgParser) {
    private val host by parser.option(ArgType.String, "host", description = "host to listen on").default("127.0.0.1")
    private val port by parser.option(ArgType.Int, "port", description = "port, 0 for a free one").default(0)
    private val journal by parser
        .option(ArgType.Int, "journal-limit", description = "journal entries kept")
        .default(Journal.DEFAULT_LIMIT)

    fun settings(): ListenSettings = ListenSettings(host, port, journal, crashEndsProcess = true)
}
