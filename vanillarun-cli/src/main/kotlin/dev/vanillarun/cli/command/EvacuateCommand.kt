package dev.vanillarun.cli.command

import dev.vanillarun.adapters.commandline.asArgument
import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.failure
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.zone.DataCentre
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlin.time.Duration.Companion.seconds

/** `vanillarun evacuate DATA_CENTRE`. */
internal class EvacuateCommand : PlatformCommand("evacuate", "Send nothing more to the targets of a data centre") {
    private val message by option(ArgType.String, "message", "m", "Why it is evacuated").required()
    private val author by option(ArgType.String, "author", "a", "Who orders it")
        .default(System.getProperty("user.name").orEmpty())
    private val end by option(ArgType.Boolean, "end", "e", "Use the data centre again").default(false)
    private val waitSeconds by option(ArgType.Int, "wait-seconds", "w", "Longest time until it binds everywhere")
        .default(DEFAULT_WAIT_SECONDS)
    private val dataCentre by argument(
        ArgType.String.asArgument(),
        "DATA_CENTRE",
        "Data centre, as the configuration names it",
    )

    override suspend fun run(deployment: Deployment): Answer {
        if (dataCentre.isBlank()) return failure(ExitCode.USAGE, "usage", "name a data centre")
        val published = evacuate(deployment, DataCentre(dataCentre), end, author, message)
        val offset = published.offset ?: return published.answer
        return published.answer.followedBy(awaitInForce(deployment, offset, waitSeconds.seconds))
    }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 30
    }
}

/** Publishes that [dataCentre] is evacuated, or no longer is if [end]; all else stays as it is in force. */
internal suspend fun evacuate(
    deployment: Deployment,
    dataCentre: DataCentre,
    end: Boolean,
    author: String,
    message: String,
): PublishAnswer = when (val current = deployment.publisher.current()) {
    is CurrentConfig.Unavailable ->
        PublishAnswer(unavailable("the log is away: ${current.reason}; nothing was written; $LOG_AWAY"))

    is CurrentConfig.Unanchored -> PublishAnswer(unavailable(UNANCHORED))

    is CurrentConfig.Known -> {
        val config = current.inForce?.config ?: RolloutConfig()
        val known = config.targets.map { it.dataCentre }.distinct().sortedBy { it.name }
        if (dataCentre !in known && !end) {
            val listed = known.joinToString().ifEmpty { "none" }
            PublishAnswer(
                failure(
                    ExitCode.PROBLEM,
                    "unknown_data_centre",
                    "no target stands in \"$dataCentre\"; the data centres of targets are: $listed",
                ),
            )
        } else {
            val evacuated = if (end) config.evacuated - dataCentre else (config.evacuated + dataCentre).distinct()
            publish(deployment, author, message, current, config.copy(evacuated = evacuated))
        }
    }
}
