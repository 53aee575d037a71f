package dev.vanillarun.standin.http

import dev.vanillarun.standin.fault.FaultSwitch
import dev.vanillarun.standin.journal.Journal
import dev.vanillarun.standin.journal.JournalEntry
import io.ktor.http.HttpMethod
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.method
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.util.toMap
import kotlinx.coroutines.runBlocking
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** One operation of a stand-in. */
public class Operation(
    /** Name, as faults and the journal give it. */
    public val name: String,
    /** HTTP method; null means any. */
    public val method: HttpMethod?,
    /** Path pattern. */
    public val path: String,
    /** Serves a call. */
    public val serve: suspend (Exchange) -> Reply,
)

/** Where a stand-in listens and what it does when it is told to crash. */
public data class ListenSettings(
    /** Host. */
    public val host: String = "127.0.0.1",
    /** Port, zero for a free one. */
    public val port: Int = 0,
    /** Entries that the journal keeps. */
    public val journalLimit: Int = Journal.DEFAULT_LIMIT,
    /** True if a crash ends the whole process, false if it only stops this stand-in. */
    public val crashEndsProcess: Boolean = false,
)

/** HTTP server of a stand-in: its operations, its faults, its journal and the control endpoint. */
public class StandinServer(private val settings: ListenSettings, operations: List<Operation>) : AutoCloseable {
    /** Faults of this stand-in. */
    public val faults: FaultSwitch = FaultSwitch()

    /** Calls that took effect. */
    public val journal: Journal = Journal(settings.journalLimit)

    private val stopped = AtomicBoolean(false)
    private val faulty = FaultyResponder(faults, ::crash)
    private val server: EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> =
        server(operations)

    /** Address, `host:port`, once started. */
    public lateinit var address: String
        private set

    /** Starts listening. */
    public fun start(): StandinServer {
        server.start(wait = false)
        val port = runBlocking { server.engine.resolvedConnectors().first().port }
        address = "${settings.host}:$port"
        return this
    }

    /** True until the stand-in is closed or crashes. */
    public val running: Boolean get() = !stopped.get()

    override fun close() {
        if (stopped.compareAndSet(false, true)) server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_MILLIS)
    }

    private fun crash() {
        if (settings.crashEndsProcess) Runtime.getRuntime().halt(CRASH_STATUS)
        thread(isDaemon = true, name = "standin-crash") { close() }
    }

    private fun server(operations: List<Operation>) = embeddedServer(
        Netty,
        configure = {
            connector {
                host = settings.host
                port = settings.port
            }
            shareWorkGroup = true
            responseWriteTimeoutSeconds = 0
        },
    ) {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            controlRoutes(faults, journal)
            operations.forEach { install(it) }
        }
    }

    private fun Route.install(operation: Operation) {
        route(operation.path) {
            if (operation.method ==
                null
            ) {
                handle { answer(call, operation) }
            } else {
                method(operation.method) { handle { answer(call, operation) } }
            }
        }
    }

    private suspend fun answer(call: RoutingCall, operation: Operation) {
        val exchange = call.exchange(operation.name)
        faulty.answer(call, exchange, operation.serve)
    }

    private suspend fun RoutingCall.exchange(operation: String): Exchange = Exchange(
        operation = operation,
        method = request.httpMethod.value,
        uri = request.uri,
        parameters = parameters.toMap().mapValues { (_, values) -> values.joinToString("\n") },
        headers = lowerCaseHeaders(),
        body = receiveText(),
        onEffect = ::record,
    )

    private fun ApplicationCall.lowerCaseHeaders(): Map<String, List<String>> =
        request.headers.toMap().mapKeys { (name, _) -> name.lowercase() }

    private fun record(exchange: Exchange) {
        val entry =
            JournalEntry(
                seq = 0,
                timeMs = System.currentTimeMillis(),
                operation = exchange.operation,
                method = exchange.method,
                uri = exchange.uri,
                headers = exchange.headers,
                body = exchange.body,
            )
        journal.add(entry)
    }

    private companion object {
        const val CRASH_STATUS = 137
        const val STOP_MILLIS = 200L
    }
}
