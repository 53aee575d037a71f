package dev.vanillarun.standin.platform

import dev.vanillarun.standin.fault.FaultSwitch
import dev.vanillarun.standin.http.ListenSettings
import dev.vanillarun.standin.http.Operation
import dev.vanillarun.standin.http.StandinServer
import dev.vanillarun.standin.journal.Journal
import io.ktor.http.HttpMethod

/** Settings of a platform stand-in. */
public data class PlatformSettings(
    /** Where it listens. */
    public val listen: ListenSettings = ListenSettings(),
    /** How long the log keeps records. */
    public val retention: Retention = Retention(),
    /** Appends a second that the log takes; zero means no limit. */
    public val appendsPerSecond: Double = 400.0,
    /** Age of the list of instances and targets in milliseconds. */
    public val listLagMs: Long = 0,
    /** Downloads a second that the weight store serves; zero means no limit. */
    public val downloadsPerSecond: Double = 0.0,
    /** Weight version that exists from the start. */
    public val firstVersion: Long = 1,
)

/** A running platform stand-in. */
public class RunningPlatform internal constructor(private val server: StandinServer) : AutoCloseable {
    /** Address, `host:port`. */
    public val address: String get() = server.address

    /** Faults that can be switched on. */
    public val faults: FaultSwitch get() = server.faults

    /** Calls that took effect. */
    public val journal: Journal get() = server.journal

    override fun close(): Unit = server.close()
}

/**
 * Starts a platform stand-in.
 *
 * ```
 * startPlatform(PlatformSettings(listLagMs = 500)).use { platform -> println(platform.address) }
 * ```
 */
public fun startPlatform(settings: PlatformSettings = PlatformSettings()): RunningPlatform =
    RunningPlatform(StandinServer(settings.listen, platformOperations(settings)).start())

private fun platformOperations(settings: PlatformSettings): List<Operation> {
    val log = LogService(settings.retention, RateLimit(settings.appendsPerSecond), ::monotonicMillis)
    val instances = InstanceService(settings.listLagMs, ::monotonicMillis)
    val orders = OrderService()
    val weights = WeightService(settings.firstVersion, RateLimit(settings.downloadsPerSecond))
    return listOf(
        Operation("log.append", HttpMethod.Post, "/v1/log/append") { log.append(it) },
        Operation("log.read", HttpMethod.Get, "/v1/log/read") { log.read(it) },
        Operation("instances", HttpMethod.Get, "/v1/instances") { instances.read(it) },
        Operation("instances", HttpMethod.Put, "/v1/instances/{id}") { instances.announce(it) },
        Operation("instances", HttpMethod.Delete, "/v1/instances/{id}") { instances.withdraw(it) },
        Operation("instances", HttpMethod.Put, "/v1/targets/{id}") { instances.announceTarget(it) },
        Operation("orders", HttpMethod.Post, "/v1/orders") { orders.order(it) },
        Operation("orders", HttpMethod.Get, "/v1/orders") { orders.list() },
        Operation("usage", HttpMethod.Post, "/v1/usage") { orders.report(it) },
        Operation("weights", HttpMethod.Get, "/v1/weights") { weights.list() },
        Operation("weights", HttpMethod.Get, "/v1/weights/{version}") { weights.download(it) },
        Operation("weights", HttpMethod.Post, "/v1/weights") { weights.publish(it) },
    )
}

private const val NANOS_PER_MILLI = 1_000_000L

private fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI
