package dev.vanillarun.cli.command

import dev.vanillarun.adapters.commandline.PathArgument
import dev.vanillarun.adapters.config.ConfigCollector
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.problemAnswer
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.core.config.ConfigDifference
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.PublishOutcome
import dev.vanillarun.core.config.RolloutConfig
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.cli.vararg
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds

/** `vanillarun publish DIR...`. */
internal class PublishCommand : PlatformCommand("publish", "Check files and put them in force") {
    private val message by option(ArgType.String, "message", "m", "Why it is published").required()
    private val author by option(ArgType.String, "author", "a", "Who publishes")
        .default(System.getProperty("user.name").orEmpty())
    private val wait by option(ArgType.Boolean, "wait", "w", "Wait until every live instance has it in force")
        .default(false)
    private val waitSeconds by option(ArgType.Int, "wait-seconds", description = "Longest time to wait")
        .default(DEFAULT_WAIT_SECONDS)
    private val paths by argument(PathArgument, "DIR", "Directories or files to collect").vararg()

    override suspend fun run(deployment: Deployment): Answer {
        val request = PublishRequest(paths, author, message)
        val answer = publish(deployment, request)
        val offset = answer.offset
        if (!wait || offset == null) return answer.answer
        return answer.answer.followedBy(awaitInForce(deployment, offset, waitSeconds.seconds))
    }

    private companion object {
        const val DEFAULT_WAIT_SECONDS = 30
    }
}

/** What an operator wants to publish. */
internal data class PublishRequest(val paths: List<Path>, val author: String, val message: String)

/** What came of it; [offset] is the position of the new publication, if there is one. */
internal data class PublishAnswer(val answer: Answer, val offset: Long? = null)

/** Collects, checks, compares and publishes. Evacuations in force stay: they are orders, and no part of the files. */
internal suspend fun publish(deployment: Deployment, request: PublishRequest): PublishAnswer {
    val config = when (val outcome = ConfigCollector.collect(request.paths)) {
        is ReadOutcome.Rejected -> return PublishAnswer(problemAnswer(outcome.problems))
        is ReadOutcome.Read -> outcome.value.config
    }
    return when (val current = deployment.publisher.current()) {
        is CurrentConfig.Unavailable ->
            PublishAnswer(unavailable("the log is away: ${current.reason}; nothing was written; $LOG_AWAY"))

        is CurrentConfig.Unanchored -> PublishAnswer(unavailable(UNANCHORED))

        is CurrentConfig.Known -> {
            val kept = current.inForce?.config?.evacuated.orEmpty()
                .filter { dataCentre -> config.targets.any { it.dataCentre == dataCentre } }
            val whole = config.copy(evacuated = (config.evacuated + kept).distinct())
            publish(deployment, request.author, request.message, current, whole)
        }
    }
}

/** Publishes [config] in place of [current], unless nothing has changed. */
internal suspend fun publish(
    deployment: Deployment,
    author: String,
    message: String,
    current: CurrentConfig.Known,
    config: RolloutConfig,
): PublishAnswer {
    val changes = changesFrom(current, config).map(ConfigDifference::line)
    if (changes.isEmpty() && current.inForce != null) {
        val json = PublishJson("unchanged", current.offset(), changes)
        return PublishAnswer(json.answer(ExitCode.OK, "already in force since ${json.offset}"), json.offset)
    }
    return when (val outcome = deployment.publisher.publish(current, config, author, message)) {
        is PublishOutcome.Published -> {
            val json = PublishJson("published", outcome.offset.value, changes)
            PublishAnswer(json.answer(ExitCode.OK, "published at ${json.offset}"), json.offset)
        }

        is PublishOutcome.Conflict -> PublishAnswer(conflict(outcome, changes))

        is PublishOutcome.Refused -> PublishAnswer(
            unavailable("the log refused: ${outcome.reason}; nothing was written, try again in ${outcome.retryAfter}"),
        )

        is PublishOutcome.InDoubt -> PublishAnswer(
            unavailable("in doubt: ${outcome.reason}; see `vanillarun status` before you publish again"),
        )
    }
}

private fun conflict(outcome: PublishOutcome.Conflict, changes: List<String>): Answer {
    val winner = outcome.winner
    val who = winner?.let { "${it.author} published \"${it.message}\" at ${it.publication}" } ?: "another came first"
    return PublishJson("conflict", winner?.publication?.value, changes, winner?.author, winner?.message)
        .answer(ExitCode.CONFLICT, "conflict: $who; nothing of yours is in force. Run `vanillarun diff`, then publish")
}

@Serializable
private data class PublishJson(
    val outcome: String,
    val offset: Long?,
    val changes: List<String>,
    @SerialName("winner_author") val winnerAuthor: String? = null,
    @SerialName("winner_message") val winnerMessage: String? = null,
) {
    fun answer(exit: ExitCode, line: String): Answer = Answer.of(exit, changes + line, serializer(), this)
}
