package dev.vanillarun.cli.command

import dev.vanillarun.adapters.commandline.asArgument
import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.admin.AdminResult
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.failure
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.core.platform.PlatformResult
import kotlinx.cli.ArgType
import kotlinx.serialization.Serializable

/** `vanillarun drain INSTANCE`. */
internal class DrainCommand : PlatformCommand("drain", "Ask an instance to finish its work and end") {
    private val instance by argument(
        ArgType.String.asArgument(),
        "INSTANCE",
        "Instance, as `vanillarun status` names it",
    )

    override suspend fun run(deployment: Deployment): Answer = drain(deployment, instance)
}

/** Asks [instance] to drain. */
internal suspend fun drain(deployment: Deployment, instance: String): Answer {
    val listing = when (val result = deployment.directory.list()) {
        is PlatformResult.Answered -> result.value
        else -> return unavailable("the platform's list of instances is away; send SIGTERM to the process instead")
    }
    val listed = listing.instances.firstOrNull { it.id.value == instance }
        ?: return failure(
            ExitCode.PROBLEM,
            "unknown_instance",
            "no instance \"$instance\" is listed; listed are ${listing.instances.joinToString { it.id.value }}",
        )
    return when (val result = deployment.admin.drain(listed.adminAddress)) {
        is AdminResult.Failed -> unavailable("$instance did not answer: ${result.reason}")

        is AdminResult.Answered ->
            Answer.of(ExitCode.OK, listOf("$instance drains"), DrainJson.serializer(), DrainJson(instance))
    }
}

@Serializable
private data class DrainJson(val draining: String)
