package dev.vanillarun.standin.trainer

import dev.vanillarun.adapters.commandline.readOrExit
import dev.vanillarun.standin.http.wireJson
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.milliseconds

/** Runs the trainer stand-in and prints its summary as one JSON line. */
public fun main(args: Array<String>) {
    val parser = ArgParser("standin-trainer")
    val flags = TrainerFlags(parser)
    parser.readOrExit(args)
    val summary = runBlocking { Trainer(flags.settings()).run() }
    println(wireJson.encodeToString(summary))
}

private class TrainerFlags(parser: ArgParser) {
    private val daemons by parser.option(ArgType.String, "daemons", description = "host:port,...").required()
    private val key by parser.option(ArgType.String, "key", description = "customer's key").default("")
    private val platform by parser.option(ArgType.String, "platform", description = "host:port").default("")
    private val name by parser.option(ArgType.String, "name", description = "trainer").default("assistant")
    private val model by parser.option(ArgType.String, "model", description = "model").default("assistant")
    private val steps by parser.option(ArgType.Int, "steps", description = "steps").default(4)
    private val groups by parser.option(ArgType.Int, "groups", description = "groups a step").default(8)
    private val samples by parser.option(ArgType.Int, "samples", description = "samples a group").default(8)
    private val tokens by parser.option(ArgType.Int, "max-tokens", description = "tokens a sample").default(64)
    private val lag by parser.option(ArgType.Int, "max-version-lag", description = "bound on age").default(1)
    private val version by parser.option(ArgType.Int, "weight-version", description = "first version").default(1)
    private val train by parser.option(ArgType.Int, "train-ms", description = "training time").default(200)
    private val patience by parser.option(ArgType.Int, "patience-ms", description = "bound on a step").default(60_000)
    private val seed by parser.option(ArgType.Int, "seed", description = "of the prompts").default(0)

    fun settings(): TrainerSettings = TrainerSettings(
        daemons = daemons.split(","),
        key = key,
        platform = platform,
        name = name,
        model = model,
        steps = steps,
        groups = groups,
        samples = samples,
        maxTokens = tokens,
        maxVersionLag = lag.toLong(),
        version = version.toLong(),
        train = train.milliseconds,
        patience = patience.milliseconds,
        seed = seed.toLong(),
    )
}
