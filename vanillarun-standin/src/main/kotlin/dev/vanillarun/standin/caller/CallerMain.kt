package dev.vanillarun.standin.caller

import dev.vanillarun.adapters.commandline.readOrExit
import dev.vanillarun.standin.http.wireJson
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.milliseconds

/** Runs the live-caller stand-in and prints its summary as one JSON line. */
public fun main(args: Array<String>) {
    val parser = ArgParser("standin-caller")
    val flags = CallerFlags(parser)
    parser.readOrExit(args)
    val summary = runBlocking { Caller(flags.settings()).run() }
    println(wireJson.encodeToString(summary))
}

private class CallerFlags(parser: ArgParser) {
    private val daemons by parser.option(ArgType.String, "daemons", description = "host:port,...").required()
    private val customers by parser
        .option(ArgType.String, "customers", description = "name=key or name=key=weight, ...")
        .required()
    private val model by parser.option(ArgType.String, "model", description = "model").default("assistant")
    private val path by parser.option(ArgType.String, "service-path", description = "prefix").default("/loans")
    private val rate by parser.option(ArgType.Double, "rate", description = "calls a second").default(20.0)
    private val duration by parser.option(ArgType.Int, "duration-ms", description = "of the run").default(20_000)
    private val tokens by parser.option(ArgType.Int, "max-tokens", description = "of a completion").default(16)
    private val kinds by parser
        .option(ArgType.Choice<CallKind>(), "kind", description = "kind of calls, may be repeated")
        .multiple()
    private val seed by parser.option(ArgType.Int, "seed", description = "of arrivals").default(1)

    fun settings(): CallerSettings = CallerSettings(
        daemons = daemons.split(","),
        customers = customers.split(",").map(::customer),
        model = model,
        servicePath = path,
        callsPerSecond = rate,
        duration = duration.milliseconds,
        maxTokens = tokens,
        seed = seed.toLong(),
        kinds = kinds.ifEmpty { CallKind.entries },
    )

    private fun customer(text: String): CallingCustomer {
        val parts = text.split("=")
        return CallingCustomer(parts[0], parts[1], parts.getOrNull(2)?.toInt() ?: 1)
    }
}
