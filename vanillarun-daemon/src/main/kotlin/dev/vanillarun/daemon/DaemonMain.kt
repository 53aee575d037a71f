package dev.vanillarun.daemon

import dev.vanillarun.adapters.commandline.readOrExit
import dev.vanillarun.adapters.logging.JsonLogging
import dev.vanillarun.adapters.platform.HttpEngineOrdering
import dev.vanillarun.adapters.platform.HttpPlatform
import dev.vanillarun.adapters.platform.HttpPlatformLog
import dev.vanillarun.adapters.platform.platformHttpClient
import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.SettingsFlags
import dev.vanillarun.adapters.settings.SettingsReader
import dev.vanillarun.adapters.toml.ReadOutcome
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.coroutines.runBlocking
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2
private const val EXIT_CALLS_ABORTED = 1

/** Ktor's property for its own shutdown hook, which would close all connections at SIGTERM during the drain. */
private const val SERVER_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"

/** Serves until SIGTERM, then drains. Exit status: 0 clean, 1 if calls were aborted, 2 for invalid settings. */
public fun main(args: Array<String>) {
    JsonLogging.start()
    System.setProperty(SERVER_SHUTDOWN_HOOK, "false")
    val settings = readSettings(args)
    val daemon = runBlocking { Daemon.start(settings, platformPorts(settings)) }
    Runtime.getRuntime().addShutdownHook(Thread { drainAndHalt(daemon) })
    Thread.currentThread().join()
}

private fun drainAndHalt(daemon: RunningDaemon) {
    val outcome = runBlocking { daemon.drain() }
    Runtime.getRuntime().halt(if (outcome == DrainOutcome.CLEAN) 0 else EXIT_CALLS_ABORTED)
}

private fun platformPorts(settings: DaemonSettings): PlatformPorts {
    val client = platformHttpClient()
    val platform = HttpPlatform(client, settings.platform)
    return PlatformPorts(
        log = HttpPlatformLog(client, settings.platform),
        directory = platform,
        reporting = platform,
        ordering = platform,
        weights = platform,
        engines = HttpEngineOrdering(client),
    )
}

private fun readSettings(args: Array<String>): DaemonSettings {
    val parser = ArgParser("vanillarund")
    val file by parser.option(ArgType.String, fullName = "settings", description = "TOML file with the settings")
    val instance by parser.option(ArgType.String, fullName = "instance", description = "Identity of the instance")
    val dataCentre by parser.option(ArgType.String, fullName = "data-centre", description = "Its data centre")
    val platform by parser.option(ArgType.String, fullName = "platform", description = "Base URL of the platform")
    val caller by parser.option(ArgType.String, fullName = "caller-address", description = "Address for callers")
    val admin by parser.option(ArgType.String, fullName = "admin-address", description = "Address for operators")
    val peer by parser.option(ArgType.String, fullName = "peer-address", description = "Address for instances")
    parser.readOrExit(args)
    val flags = SettingsFlags(
        instance = instance,
        dataCentre = dataCentre,
        platform = platform,
        callerAddress = caller,
        adminAddress = admin,
        peerAddress = peer,
    )
    return when (val outcome = SettingsReader.read(file?.let(Path::of), flags)) {
        is ReadOutcome.Read -> outcome.value

        is ReadOutcome.Rejected -> {
            outcome.problems.forEach { System.err.println(it) }
            exitProcess(EXIT_USAGE)
        }
    }
}
