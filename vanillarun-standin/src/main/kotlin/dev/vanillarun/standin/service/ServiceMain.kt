package dev.vanillarun.standin.service

import dev.vanillarun.adapters.commandline.readOrExit
import dev.vanillarun.standin.http.ListenFlags
import dev.vanillarun.standin.http.announceAndWait
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

private const val CONCURRENCY = 16
private const val TRUE_PERCENT = 100

/** Runs the stand-in of a plain service as a process. */
public fun main(args: Array<String>) {
    val parser = ArgParser("standin-service")
    val listen = ListenFlags(parser)
    val name by parser.option(ArgType.String, "name", description = "name in answers").default("service")
    val work by parser.option(ArgType.Int, "work-ms", description = "time that a call takes").default(0)
    val concurrency by parser.option(ArgType.Int, "concurrency", description = "calls at a time").default(CONCURRENCY)
    val credential by parser.option(ArgType.String, "credential", description = "credential asked for").default("")
    val varies by parser.option(ArgType.Boolean, "load-varies", description = "no two reports alike").default(false)
    val lag by parser.option(ArgType.Int, "load-lag-ms", description = "age of load reports").default(0)
    val percent by parser
        .option(ArgType.Int, "load-report-percent", description = "load that is reported, of the true one")
        .default(TRUE_PERCENT)
    parser.readOrExit(args)
    val settings = ServiceSettings(
        listen = listen.settings(),
        name = name,
        workMs = work.toLong(),
        concurrency = concurrency,
        credential = credential,
        loadLagMs = lag.toLong(),
        loadReportPercent = percent,
        loadVaries = varies,
    )
    announceAndWait("service", startService(settings).address)
}
