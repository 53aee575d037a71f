package dev.vanillarun.standin.demo

import dev.vanillarun.standin.platform.ListedInstance
import java.io.File

/** Starts the processes of the demo and ends them with [close]. */
internal class DemoProcesses(private val settings: DemoSettings) : AutoCloseable {
    private val started = ArrayList<DemoProcess>()

    fun startTargets(platform: String): List<DemoTarget> {
        val targets = DemoFleet.zones.flatMap { zone -> startEngines(zone, platform) + startService(zone) }
        return targets.map { (target, process) -> target.copy(address = process.address()) }
    }

    private fun startEngines(zone: DemoZone, platform: String): List<Pair<DemoTarget, DemoProcess>> =
        zone.engineSpeeds.mapIndexed { at, speed ->
            val id = "assistant-${zone.name}-${at + 1}"
            val flags =
                mapOf(
                    "tokens-per-second" to "$speed",
                    "load-lag-ms" to "500",
                    "straggler-percent" to "2",
                    "credential" to DemoFleet.TARGET_CREDENTIAL,
                    "weights" to platform,
                    "swap-ms" to "100",
                )
            val process = start(id, "standin-engine", flags)
            DemoTarget(id, "engine", address = "", zone) to process
        }

    private fun startService(zone: DemoZone): Pair<DemoTarget, DemoProcess> {
        val id = "loans-${zone.name}"
        val flags = mapOf("work-ms" to "5", "name" to id, "credential" to DemoFleet.TARGET_CREDENTIAL)
        val process = start(id, "standin-service", flags)
        return DemoTarget(id, "service", address = "", zone) to process
    }

    fun startDaemon(zone: String, platform: String): DemoProcess {
        val file = File(settings.directory, "$zone.toml").apply { writeText(DemoFleet.settings(zone, platform)) }
        return start("daemon-$zone", "vanillarund", mapOf("settings" to file.path))
    }

    fun startTrainer(platform: String, instances: List<ListedInstance>): DemoProcess {
        val flags =
            mapOf(
                "daemons" to instances.joinToString(",") { it.callerAddress },
                "platform" to platform,
                "key" to DemoFleet.key(DemoFleet.TRAINER),
                "steps" to "${settings.steps}",
                "groups" to "${settings.groups}",
                "samples" to "${settings.samples}",
            )
        return start("trainer", "standin-trainer", flags)
    }

    fun startCaller(instances: List<ListedInstance>): DemoProcess {
        val flags =
            mapOf(
                "daemons" to instances.joinToString(",") { it.callerAddress },
                "customers" to callingCustomers(),
                "rate" to "${settings.callsPerSecond}",
                "duration-ms" to "${settings.callers.inWholeMilliseconds}",
            )
        return start("caller", "standin-caller", flags)
    }

    private fun callingCustomers(): String = (DemoFleet.customers - DemoFleet.TRAINER).entries.joinToString(",") {
        "${it.key}=${DemoFleet.key(it.key)}=${it.value}"
    }

    /** Starts [script] of the build with [words] and [flags]. */
    fun start(
        name: String,
        script: String,
        flags: Map<String, String> = emptyMap(),
        words: List<String> = emptyList(),
    ): DemoProcess {
        val named = flags.flatMap { (flag, value) -> listOf("--$flag", value) }
        val command = listOf(File(settings.root, "bin/$script").path) + words + named
        return DemoProcess(name, command, settings.directory).also(started::add)
    }

    override fun close() {
        started.filter { it.alive }.forEach { it.kill() }
    }
}
