package dev.vanillarun.cli.command

import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.admin.AdminResult
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.cli.output.table
import dev.vanillarun.cli.output.unavailable
import dev.vanillarun.cli.platform.Deployment
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.platform.InstanceListing
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.platform.ListedState
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.valueOrNull
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** `vanillarun status`. */
internal class StatusCommand : PlatformCommand("status", "Show the configuration in force and who has it") {
    override suspend fun run(deployment: Deployment): Answer = status(deployment)
}

/** An instance as list and instance tell it. */
@Serializable
internal data class InstanceRow(
    val instance: String,
    @SerialName("data_centre") val dataCentre: String,
    val listed: String,
    @SerialName("config_offset") val configOffset: Long?,
    val draining: Boolean?,
    val problem: String?,
) {
    /** True unless it is a live instance that lacks the publication at [wanted]. */
    fun hasInForce(wanted: Long): Boolean = listed != LISTED_LIVE || (configOffset ?: -1) >= wanted
}

/** The configuration in force and every listed instance. */
internal suspend fun status(deployment: Deployment): Answer {
    val listing = when (val result = deployment.directory.list()) {
        is PlatformResult.Answered -> result.value
        else -> return unavailable("the platform's list of instances is away; ask an instance's /status directly")
    }
    val current = deployment.publisher.current()
    val rows = rows(deployment, listing)
    val wanted = (current as? CurrentConfig.Known)?.offset()
    val json = StatusJson(
        configOffset = wanted,
        author = (current as? CurrentConfig.Known)?.inForce?.author,
        message = (current as? CurrentConfig.Known)?.inForce?.message,
        evacuated = (current as? CurrentConfig.Known)?.inForce?.config?.evacuated.orEmpty().map { it.name },
        listAgeMs = listing.age.inWholeMilliseconds,
        instances = rows,
        duties = duties(deployment),
    )
    val exit = when {
        wanted == null -> ExitCode.UNAVAILABLE
        rows.all { it.problem == null && it.hasInForce(wanted) } -> ExitCode.OK
        else -> ExitCode.PROBLEM
    }
    return Answer.of(exit, json.text(), StatusJson.serializer(), json)
}

@Serializable
private data class StatusJson(
    @SerialName("config_offset") val configOffset: Long?,
    val author: String?,
    val message: String?,
    val evacuated: List<String>,
    @SerialName("list_age_ms") val listAgeMs: Long,
    val instances: List<InstanceRow>,
    val duties: List<DutyRow>,
) {
    fun text(): List<String> {
        val head = when (configOffset) {
            null -> "configuration in force: unknown, the log does not tell"
            -1L -> "configuration in force: none; publish one with `vanillarun publish`"
            else -> "configuration in force: $configOffset by $author, \"$message\""
        }
        val evacuations = evacuated.map { "evacuated: $it; end it with `vanillarun evacuate $it --end`" }
        return listOf(head) + evacuations + "list of instances: $listAgeMs ms old" + instanceTable(instances) +
            dutyTable(duties)
    }
}

private fun instanceTable(rows: List<InstanceRow>): List<String> = table(
    listOf(listOf("INSTANCE", "DATA CENTRE", "LISTED", "CONFIG", "STATE")) + rows.map {
        val state = it.problem ?: if (it.draining == true) "draining" else "ok"
        listOf(it.instance, it.dataCentre, it.listed, it.configOffset?.toString() ?: "?", state)
    },
)

private suspend fun rows(deployment: Deployment, listing: InstanceListing): List<InstanceRow> = coroutineScope {
    listing.instances.sortedBy { it.id.value }.map { async { row(deployment, it) } }.awaitAll()
}

private suspend fun row(deployment: Deployment, listed: ListedInstance): InstanceRow {
    val result = deployment.admin.status(listed.adminAddress)
    val view = (result as? AdminResult.Answered)?.value
    return InstanceRow(
        instance = listed.id.value,
        dataCentre = listed.dataCentre.name,
        listed = if (listed.state == ListedState.LIVE) LISTED_LIVE else "leaving",
        configOffset = view?.configOffset,
        draining = view?.draining,
        problem = (result as? AdminResult.Failed)?.let { "unreachable: ${it.reason}" },
    )
}

/** Waits at most [patience] until every live listed instance has the publication at [offset] in force. */
internal suspend fun awaitInForce(deployment: Deployment, offset: Long, patience: Duration): Answer {
    var rows = emptyList<InstanceRow>()
    val done = withTimeoutOrNull(patience) {
        while (rows.isEmpty() || !rows.all { it.hasInForce(offset) }) {
            val listing = deployment.directory.list().valueOrNull()
            rows = listing?.let { rows(deployment, it) }.orEmpty()
            if (rows.isEmpty() || !rows.all { it.hasInForce(offset) }) delay(POLL)
        }
    }
    val lacking = rows.filterNot { it.hasInForce(offset) }
    val json = InForceJson(
        inForce = rows.filter { it.hasInForce(offset) }.map { it.instance },
        notInForce = lacking.map { it.instance },
    )
    val line = when {
        done != null -> "in force on all ${json.inForce.size} instances"
        rows.isEmpty() -> "no instance is listed, so that nobody has it in force yet; see `vanillarun status`"
        else -> "after $patience not in force on ${json.notInForce.joinToString()}; see `vanillarun status`"
    }
    val exit = if (done != null) ExitCode.OK else ExitCode.UNAVAILABLE
    return Answer.of(exit, listOf(line) + instanceTable(rows), InForceJson.serializer(), json)
}

@Serializable
private data class InForceJson(
    @SerialName("in_force") val inForce: List<String>,
    @SerialName("not_in_force") val notInForce: List<String>,
)

/** This answer with [next] behind it; the later exit code counts. */
internal fun Answer.followedBy(next: Answer): Answer {
    val merged = (json as? JsonObject).orEmpty() + (next.json as? JsonObject).orEmpty()
    return Answer(next.exit, text + next.text, JsonObject(merged))
}

private const val LISTED_LIVE = "live"
private val POLL = 200.milliseconds
