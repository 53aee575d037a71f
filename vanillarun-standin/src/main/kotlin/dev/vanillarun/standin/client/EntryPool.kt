package dev.vanillarun.standin.client

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A call to an entry instance. */
public data class EntryCall(
    /** HTTP method. */
    public val method: HttpMethod,
    /** Path and query. */
    public val uri: String,
    /** Body; null for none. */
    public val body: String? = null,
    /** Headers. */
    public val headers: Map<String, String> = emptyMap(),
)

/** What came back for a call. */
public sealed interface EntryAnswer {
    /** A whole HTTP answer. */
    public data class Answered(
        /** HTTP status. */
        public val status: Int,
        /** Body. */
        public val body: String,
        /** Value of `X-Vanillarun-Execution`. */
        public val execution: String?,
        /** Value of `Retry-After`, in seconds. */
        public val retryAfterSeconds: Long?,
    ) : EntryAnswer

    /** No connection came about, so the call did not leave. */
    public data class Unreachable(
        /** What was seen. */
        public val reason: String,
    ) : EntryAnswer

    /** The connection broke or the answer did not come in time. */
    public data class Broken(
        /** What was seen. */
        public val reason: String,
    ) : EntryAnswer
}

/** Calls entry instances in turn, as a balancer does: one that does not answer or serve is left out for a while. */
public class EntryPool(
    private val addresses: List<String>,
    private val timeout: Duration = 30.seconds,
    private val leaveOut: Duration = 1.seconds,
) : AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = MAX_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAX_CONNECTIONS
            }
            install(HttpTimeout) { connectTimeoutMillis = CONNECT_MILLIS }
        }
    private val turn = AtomicInteger()
    private val left = ConcurrentHashMap<String, TimeMark>()

    init {
        require(addresses.isNotEmpty()) { "a pool needs an address" }
    }

    /** Makes [call] at the next instance in turn. */
    public suspend fun call(call: EntryCall): EntryAnswer = call(next(), call)

    /** Makes [call] at the instance of [address]. */
    public suspend fun call(address: String, call: EntryCall): EntryAnswer = try {
        withTimeout(timeout) { exchange(address, call) }
    } catch (e: TimeoutCancellationException) {
        EntryAnswer.Broken(reason = "no answer in time: ${e.message}")
    } catch (e: CancellationException) {
        throw e
    } catch (e: IOException) {
        broken(address, e)
    } catch (e: IllegalStateException) {
        broken(address, e)
    }

    override fun close(): Unit = client.close()

    private fun next(): String {
        val order = List(addresses.size) { addresses[Math.floorMod(turn.get() + it, addresses.size)] }
        turn.incrementAndGet()
        return order.firstOrNull { left[it]?.hasPassedNow() != false } ?: order.first()
    }

    private suspend fun exchange(address: String, call: EntryCall): EntryAnswer.Answered {
        val response =
            client.request {
                method = call.method
                url("http://$address${call.uri}")
                call.headers.forEach { (name, value) -> header(name, value) }
                call.body?.let(::setBody)
            }
        if (response.status == HttpStatusCode.ServiceUnavailable) leaveOut(address)
        return EntryAnswer.Answered(
            status = response.status.value,
            body = response.bodyAsText(),
            execution = response.headers["X-Vanillarun-Execution"],
            retryAfterSeconds = response.headers["Retry-After"]?.toLongOrNull(),
        )
    }

    private fun leaveOut(address: String) {
        left[address] = TimeSource.Monotonic.markNow() + leaveOut
    }

    private fun broken(address: String, cause: Exception): EntryAnswer {
        leaveOut(address)
        val reason = "${cause::class.simpleName}: ${cause.message}"
        val refused = cause is ConnectException || "Connect" in cause::class.simpleName.orEmpty()
        return if (refused) EntryAnswer.Unreachable(reason) else EntryAnswer.Broken(reason)
    }

    private companion object {
        const val MAX_CONNECTIONS = 4_096
        const val CONNECT_MILLIS = 2_000L
    }
}
