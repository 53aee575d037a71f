package dev.vanillarun.cli.command

import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.admin.AdminResult
import dev.vanillarun.cli.admin.InstanceView
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.table
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.platform.PlatformResult
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** `vanillarun targets`. */
internal class TargetsCommand : PlatformCommand("targets", "Show targets as the instances see them") {
    override suspend fun run(deployment: Deployment): Answer = targets(deployment)
}

/** Targets, summed up over all instances that answer. */
internal suspend fun targets(deployment: Deployment): Answer {
    val listing = when (val result = deployment.directory.list()) {
        is PlatformResult.Answered -> result.value
        else -> return unavailable("the platform's list of instances is away; ask an instance's /status directly")
    }
    val results = coroutineScope {
        listing.instances.map { async { it to deployment.admin.status(it.adminAddress) } }.awaitAll()
    }
    val silent = results.filter { it.second is AdminResult.Failed }.map { (instance, _) -> instance.id.value }
    val seen = results.flatMap { (instance, result) -> views(instance, result) }
    val rows = seen.groupBy { it.target }.toSortedMap().values.map { views ->
        TargetRow(
            target = views.first().target,
            inFlight = views.sumOf { it.inFlight },
            seenBy = views.size,
            ejectedBy = views.filter { it.ejected }.map { it.instance },
            leavingSeenBy = views.count { it.leaving },
        )
    }
    val exit = if (silent.isEmpty()) ExitCode.OK else ExitCode.PROBLEM
    val json = TargetsJson(rows, silent)
    return Answer.of(exit, json.text(), TargetsJson.serializer(), json)
}

private data class SeenTarget(
    val instance: String,
    val target: String,
    val inFlight: Int,
    val ejected: Boolean,
    val leaving: Boolean,
)

private fun views(instance: ListedInstance, result: AdminResult<InstanceView>) =
    (result as? AdminResult.Answered)?.value?.targets.orEmpty()
        .map { SeenTarget(instance.id.value, it.target, it.inFlight, it.ejected, it.leaving) }

@Serializable
private data class TargetRow(
    val target: String,
    @SerialName("in_flight") val inFlight: Int,
    @SerialName("seen_by") val seenBy: Int,
    @SerialName("ejected_by") val ejectedBy: List<String>,
    @SerialName("leaving_seen_by") val leavingSeenBy: Int,
)

@Serializable
private data class TargetsJson(
    val targets: List<TargetRow>,
    @SerialName("silent_instances") val silentInstances: List<String>,
) {
    fun text(): List<String> {
        val rows = targets.map {
            val ejections = it.ejectedBy.joinToString().ifEmpty { "-" }
            listOf(it.target, "${it.inFlight}", "${it.seenBy}", ejections, "${it.leavingSeenBy}")
        }
        val silent = silentInstances.takeIf { it.isNotEmpty() }?.let { "did not answer: ${it.joinToString()}" }
        return table(listOf(listOf("TARGET", "IN FLIGHT", "SEEN BY", "EJECTED BY", "LEAVING SEEN BY")) + rows) +
            listOfNotNull(silent)
    }
}
