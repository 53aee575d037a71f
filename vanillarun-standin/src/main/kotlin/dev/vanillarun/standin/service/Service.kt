package dev.vanillarun.standin.service

import dev.vanillarun.standin.fault.FaultSwitch
import dev.vanillarun.standin.http.Exchange
import dev.vanillarun.standin.http.ListenSettings
import dev.vanillarun.standin.http.Operation
import dev.vanillarun.standin.http.Reply
import dev.vanillarun.standin.http.StandinServer
import dev.vanillarun.standin.http.presents
import dev.vanillarun.standin.http.wireJson
import dev.vanillarun.standin.journal.Journal
import dev.vanillarun.standin.lag.Lagging
import io.ktor.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Settings of a stand-in of a plain service. */
public data class ServiceSettings(
    /** Where it listens. */
    public val listen: ListenSettings = ListenSettings(),
    /** Name that its answers carry. */
    public val name: String = "service",
    /** Time that a call takes, in milliseconds. */
    public val workMs: Long = 0,
    /** Calls that run at a time. */
    public val concurrency: Int = 16,
    /** Credential that callers must present; empty means none. */
    public val credential: String = "",
    /** Age of load reports in milliseconds. */
    public val loadLagMs: Long = 0,
    /** Load that is reported, in percent of the true one; anything but 100 is a lie. */
    public val loadReportPercent: Int = 100,
    /** True if no load report is like the one before, as at a target whose calls come and go all the time. */
    public val loadVaries: Boolean = false,
)

/** A running stand-in of a plain service. */
public class RunningService internal constructor(private val server: StandinServer) : AutoCloseable {
    /** Address, `host:port`. */
    public val address: String get() = server.address

    /** Faults that can be switched on. */
    public val faults: FaultSwitch get() = server.faults

    /** Calls that took effect. */
    public val journal: Journal get() = server.journal

    override fun close(): Unit = server.close()
}

/** Answer to a call: what was called, so that a caller can tell its own answer from another's. */
@Serializable
public data class Echo(
    /** Service that answered. */
    public val service: String,
    /** Number of the call in this process. */
    public val call: Long,
    /** HTTP method. */
    public val method: String,
    /** Path and query. */
    public val uri: String,
    /** Body of the call. */
    public val body: String,
)

@Serializable
private data class ServiceLoad(val inFlight: Int, val ageMs: Long)

/** Starts a stand-in of a plain service; it answers any path with an [Echo]. */
public fun startService(settings: ServiceSettings = ServiceSettings()): RunningService {
    val echo = EchoService(settings)
    val operations =
        listOf(
            Operation("load", HttpMethod.Get, "/service/load") { echo.load() },
            Operation("service", method = null, path = "/{path...}") { echo.serve(it) },
        )
    return RunningService(StandinServer(settings.listen, operations).start())
}

private class EchoService(private val settings: ServiceSettings) {
    private val slots = Semaphore(settings.concurrency)
    private val inFlight = Lagging(settings.loadLagMs, initial = 0)
    private val calls = AtomicLong()
    private val reports = AtomicInteger()

    fun load(): Reply {
        val seen = synchronized(inFlight) { inFlight.seen(nowMs()) }
        val reported = seen * settings.loadReportPercent / PERCENT
        val extra = if (settings.loadVaries) reports.getAndIncrement() % REPORT_CYCLE else 0
        return Reply.Whole(body = wireJson.encodeToString(ServiceLoad(reported + extra, settings.loadLagMs)))
    }

    suspend fun serve(exchange: Exchange): Reply {
        if (!exchange.presents(settings.credential)) return Reply.refusal(UNAUTHORIZED, "wrong target credential")
        count(change = 1)
        try {
            return slots.withPermit { run(exchange) }
        } finally {
            count(change = -1)
        }
    }

    private fun count(change: Int): Unit = synchronized(inFlight) {
        inFlight.put(nowMs(), inFlight.newest.value + change)
    }

    private fun nowMs(): Long = System.nanoTime() / NANOS_PER_MILLI

    private suspend fun run(exchange: Exchange): Reply {
        exchange.tookEffect()
        delay(settings.workMs.milliseconds)
        val echo = Echo(settings.name, calls.incrementAndGet(), exchange.method, exchange.uri, exchange.body)
        val id = exchange.header("X-Request-Id")
        return Reply.Whole(
            body = wireJson.encodeToString(echo),
            headers = if (id == null) emptyMap() else mapOf("X-Request-Id" to id),
        )
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val PERCENT = 100
        const val NANOS_PER_MILLI = 1_000_000L
        const val REPORT_CYCLE = 7
    }
}
