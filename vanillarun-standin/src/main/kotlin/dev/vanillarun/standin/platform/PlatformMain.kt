package dev.vanillarun.standin.platform

import dev.vanillarun.adapters.commandline.readOrExit
import dev.vanillarun.standin.http.ListenFlags
import dev.vanillarun.standin.http.announceAndWait
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

private const val APPEND_RATE = 400.0

/** Runs the platform stand-in as a process. */
public fun main(args: Array<String>) {
    val parser = ArgParser("standin-platform")
    val listen = ListenFlags(parser)
    val count by parser.option(ArgType.Int, "retention-count", description = "records kept").default(0)
    val age by parser.option(ArgType.Int, "retention-ms", description = "age of records kept").default(0)
    val appends by parser.option(ArgType.Double, "append-rate", description = "appends a second").default(APPEND_RATE)
    val lag by parser.option(ArgType.Int, "list-lag-ms", description = "age of the list of instances").default(0)
    val downloads by parser.option(ArgType.Double, "weight-rate", description = "downloads a second").default(0.0)
    val version by parser.option(ArgType.Int, "weight-version", description = "first weight version").default(1)
    parser.readOrExit(args)
    val settings =
        PlatformSettings(
            listen = listen.settings(),
            retention = Retention(count, age.toLong()),
            appendsPerSecond = appends,
            listLagMs = lag.toLong(),
            downloadsPerSecond = downloads,
            firstVersion = version.toLong(),
        )
    announceAndWait("platform", startPlatform(settings).address)
}
