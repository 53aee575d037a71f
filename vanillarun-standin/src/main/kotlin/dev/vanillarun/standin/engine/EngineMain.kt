package dev.vanillarun.standin.engine

import dev.vanillarun.adapters.commandline.readOrExit
import dev.vanillarun.standin.http.ListenFlags
import dev.vanillarun.standin.http.announceAndWait
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default

/** Runs the engine stand-in as a process. */
public fun main(args: Array<String>) {
    val parser = ArgParser("standin-engine")
    val flags = EngineFlags(parser)
    parser.readOrExit(args)
    announceAndWait("engine", startEngine(flags.settings()).address)
}

/** Flags of the engine stand-in. */
private class EngineFlags(parser: ArgParser) {
    private val listen = ListenFlags(parser)
    private val name by parser.option(ArgType.String, "name", description = "name in answers").default("engine")
    private val models by parser.option(ArgType.String, "models", description = "loaded models").default("assistant")
    private val speed by parser.option(ArgType.Double, "tokens-per-second", description = "alone").default(200.0)
    private val slowdown by parser.option(ArgType.Double, "slowdown", description = "by sequence").default(0.05)
    private val batch by parser.option(ArgType.Int, "batch", description = "sequences at a time").default(16)
    private val straggler by parser.option(ArgType.Int, "straggler-percent", description = "slow ones").default(0)
    private val stride by parser.option(ArgType.Int, "straggler-stride", description = "slowness").default(8)
    private val least by parser.option(ArgType.Int, "least-tokens", description = "Pareto minimum").default(0)
    private val seed by parser.option(ArgType.Int, "seed", description = "of uneven work").default(0)
    private val version by parser.option(ArgType.Int, "weight-version", description = "first version").default(1)
    private val swap by parser.option(ArgType.Int, "swap-ms", description = "time of a swap").default(0)
    private val weights by parser.option(ArgType.String, "weights", description = "platform with them").default("")
    private val fenced by parser.option(ArgType.Boolean, "fenced", description = "refuses old terms").default(false)
    private val credential by parser.option(ArgType.String, "credential", description = "asked for").default("")
    private val loadLag by parser.option(ArgType.Int, "load-lag-ms", description = "age of reports").default(0)
    private val loadReport by parser.option(ArgType.Int, "load-report-percent", description = "of the true load")
        .default(100)
    private val prefixes by parser.option(ArgType.Int, "cache-prefixes", description = "kept prefixes").default(64)
    private val eventDelay by parser.option(ArgType.Int, "cache-delay-ms", description = "of events").default(0)
    private val eventLoss by parser.option(ArgType.Int, "cache-loss-percent", description = "of events").default(0)
    private val poison by parser.option(ArgType.String, "poison", description = "text that crashes").default("")

    fun settings(): EngineSettings = EngineSettings(
        listen = listen.settings(),
        name = name,
        models = models.split(","),
        speed = EngineSpeed(speed, slowdown),
        limits = BatchLimits(size = batch),
        unevenness = Unevenness(straggler, stride, least, seed.toLong()),
        version = version.toLong(),
        swapMs = swap.toLong(),
        weights = weights,
        fenced = fenced,
        credential = credential,
        loadLagMs = loadLag.toLong(),
        loadReportPercent = loadReport,
        cachePrefixes = prefixes,
        cacheEventDelayMs = eventDelay.toLong(),
        cacheEventLossPercent = eventLoss,
        poison = poison,
    )
}
