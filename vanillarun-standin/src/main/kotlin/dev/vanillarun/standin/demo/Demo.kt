package dev.vanillarun.standin.demo

import dev.vanillarun.standin.caller.CallerSummary
import dev.vanillarun.standin.client.EntryAnswer
import dev.vanillarun.standin.client.EntryCall
import dev.vanillarun.standin.client.EntryPool
import dev.vanillarun.standin.fault.Fault
import dev.vanillarun.standin.http.wireJson
import dev.vanillarun.standin.journal.JournalEntry
import dev.vanillarun.standin.platform.ListedInstance
import dev.vanillarun.standin.trainer.TrainerSummary
import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@Serializable
private data class InstancesSeen(val instances: List<ListedInstance> = emptyList())

/** How long and how much the demo runs. */
internal data class DemoSettings(
    val root: File,
    val directory: File,
    val steps: Int = 12,
    val groups: Int = 8,
    val samples: Int = 8,
    val callsPerSecond: Double = 30.0,
    val callers: Duration = 40.seconds,
    val killAfter: Duration = 12.seconds,
    val drainAfter: Duration = 24.seconds,
    val faults: Boolean = false,
)

/** The main job of the product in separate processes, with one daemon killed and one drained midway. */
internal class Demo(private val settings: DemoSettings) : AutoCloseable {
    private val processes = DemoProcesses(settings)
    private val pool = EntryPool(listOf("127.0.0.1"))

    suspend fun run(): DemoReport {
        val platform = processes.start("platform", "standin-platform").address()
        val targets = processes.startTargets(platform)
        val daemons = DemoFleet.zones.map { processes.startDaemon(it.name, platform) }
        val instances = awaitInstances(platform)
        publish(platform, targets)
        instances.forEach { awaitReady(it) }
        say("three daemons serve, ${targets.size} targets; trainer and callers begin")
        val trainer = processes.startTrainer(platform, instances)
        val caller = processes.startCaller(instances)
        delay(settings.killAfter / 2)
        if (settings.faults) armFaults(platform, targets)
        delay(settings.killAfter / 2)
        say("killing the daemon of ${daemons[0].name}")
        daemons[0].kill()
        delay(settings.drainAfter - settings.killAfter)
        say("draining the daemon of ${daemons[1].name}")
        val status = daemons[1].terminate(DRAIN_SECONDS)
        say("drained, exit status $status")
        return report(trainer, caller, targets, drained = status in CLEAN_EXITS)
    }

    override fun close() {
        processes.close()
        pool.close()
    }

    private suspend fun report(
        trainer: DemoProcess,
        caller: DemoProcess,
        targets: List<DemoTarget>,
        drained: Boolean,
    ): DemoReport {
        val callers = wireJson.decodeFromString(CallerSummary.serializer(), caller.summary(CALLER_SECONDS))
        val samples = wireJson.decodeFromString(TrainerSummary.serializer(), trainer.summary(TRAINER_SECONDS))
        val outcome =
            DemoOutcome(
                trainer = samples,
                caller = callers,
                engineCalls = targets.filter { it.kind == "engine" }.flatMap { journal(it, "generate") },
                serviceCalls = targets.filter { it.kind == "service" }.flatMap { journal(it, "service") },
                keys = DemoFleet.customers.keys.map(DemoFleet::key),
                drained = drained,
            )
        return DemoReport(outcome)
    }

    private suspend fun awaitInstances(platform: String): List<ListedInstance> = await("three live daemons") {
        val list = get(platform, "/v1/instances")?.let { wireJson.decodeFromString(InstancesSeen.serializer(), it) }
        val live = list?.instances.orEmpty().filter { it.state == "live" && it.callerAddress.isNotEmpty() }
        live.takeIf { it.size == DemoFleet.zones.size }
    }

    private suspend fun awaitReady(instance: ListedInstance) {
        await("${instance.id} ready") { get(instance.adminAddress, "/readyz") }
    }

    private fun publish(platform: String, targets: List<DemoTarget>) {
        val directory = File(settings.directory, "configuration")
        DemoFleet.files(targets).forEach { (path, text) ->
            File(directory, path).apply { parentFile.mkdirs() }.writeText(text)
        }
        val flags = mapOf("platform" to "http://$platform", "message" to "demo")
        processes.start(
            "publish",
            "vanillarun",
            flags,
            words = listOf("publish", directory.path),
        ).summary(PUBLISH_SECONDS)
    }

    private suspend fun armFaults(platform: String, targets: List<DemoTarget>) {
        say("switching faults on at the platform and at every target")
        DemoFaults.forPlatform().forEach { arm(platform, it) }
        targets.forEach { target -> DemoFaults.forTarget(target.kind).forEach { arm(target.address, it) } }
    }

    private suspend fun arm(address: String, fault: Fault) {
        val answer = pool.call(address, EntryCall(HttpMethod.Post, "/control/faults", wireJson.encodeToString(fault)))
        check(answer is EntryAnswer.Answered && answer.status == OK) { "fault not switched on: $answer" }
    }

    private suspend fun journal(target: DemoTarget, operation: String): List<JournalEntry> {
        val body = checkNotNull(get(target.address, "/control/journal?operation=$operation")) { "no journal" }
        return wireJson.decodeFromString(ListSerializer(JournalEntry.serializer()), body)
    }

    private suspend fun get(address: String, uri: String): String? {
        val answer = pool.call(address, EntryCall(HttpMethod.Get, uri)) as? EntryAnswer.Answered
        return answer?.takeIf { it.status == OK }?.body
    }

    private suspend fun <T : Any> await(what: String, probe: suspend () -> T?): T {
        repeat(PROBES) {
            probe()?.let { return it }
            delay(PROBE_PAUSE)
        }
        error("gave up waiting for $what; see ${settings.directory}")
    }

    private fun say(text: String) = println("demo: $text")

    private companion object {
        const val OK = 200
        const val PROBES = 300
        const val DRAIN_SECONDS = 30L
        const val CALLER_SECONDS = 60L
        const val TRAINER_SECONDS = 60L
        const val PUBLISH_SECONDS = 30L
        const val TERMINATED_STATUS = 143
        val PROBE_PAUSE = 100.milliseconds
        val CLEAN_EXITS = listOf(0, TERMINATED_STATUS)
    }
}
