package dev.vanillarun.hosted.fake

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.job.SampleEvent
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.daemon.target.BreakCause
import dev.vanillarun.daemon.target.ConnectionUse
import dev.vanillarun.daemon.target.ExchangeResult
import dev.vanillarun.daemon.target.ResponseBody
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.daemon.target.TargetRequest
import dev.vanillarun.daemon.target.TargetResponse
import dev.vanillarun.hosted.target.OutgoingRequest
import dev.vanillarun.hosted.target.ResponseHead
import dev.vanillarun.hosted.target.TargetDialect
import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpHeaders
import io.ktor.http.headersOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.yield
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration

/** Response of a target to every request. */
sealed interface Behaviour {
    /** Opens a response and sends its body in parts. */
    sealed interface Streaming : Behaviour

    /** Sends a complete response with [status]. */
    data class Response(val status: Int = 200, val notRun: Boolean = false) : Behaviour

    /**
     * Streams events up to number [events], after the one that the request names; disconnects after event [breakAfter]
     * if that is set. The response ends with its connection unless it [isFramed]; [signature] is left out if null. A
     * response with an event names [weights], unless that is null.
     */
    data class EventStream(
        val events: Long = 5,
        val breakAfter: Long? = null,
        val signature: String? = "s",
        val isFramed: Boolean = true,
        val weights: Long? = null,
    ) : Streaming

    /**
     * Streams the [events] of a text and goes on with events of [excessData] bytes of data, each after [interval], and
     * disconnects after [excessEvents] of these.
     */
    data class Overflow(
        val excessData: Int,
        val excessEvents: Long,
        val events: Long = 5,
        val interval: Duration = Duration.ZERO,
    ) : Streaming

    /** Opens a response and sends [chunk] each [interval] without end; the chunks complete no event. */
    data class Endless(val chunk: ByteArray, val interval: Duration = Duration.ZERO) : Streaming

    /** Sends a complete response [after] the request. */
    data class Late(val after: Duration) : Behaviour

    /** Streams five events that are [interval] apart. */
    data class SlowStream(val interval: Duration) : Streaming

    /** Sends a response with [status] that carries another request's id. */
    data class MismatchedResponse(val status: Int = 200) : Behaviour

    /** Sends a 421 that names no request, as exchange number [exchange] of its connection. */
    data class Misdirected(val exchange: Int) : Behaviour

    /** Accepts the request and disconnects before a response. */
    data object Disconnect : Behaviour

    /** Accepts the request and sends what is no HTTP response. */
    data object Garbage : Behaviour

    /** Its pooled connection is closed before the request is written. */
    data object ClosedConnection : Behaviour

    /** Accepts the request and never responds. */
    data object Silence : Behaviour

    /** Refuses the connection, so that the request is never sent. */
    data object Unreachable : Behaviour
}

/** In-memory targets, by address, and the protocol that they use. */
class FakeTargets :
    TargetClient,
    TargetDialect {
    val behaviours = HashMap<String, Behaviour>()

    /** Address of each request, in the order of sending. */
    val requestedAddresses = CopyOnWriteArrayList<String>()

    /** Addresses whose responses announce the target's departure. */
    val leaving = CopyOnWriteArrayList<String>()

    /** Runs after a target was chosen, before each request is sent. */
    var beforeSend: () -> Unit = {}

    override suspend fun <T> exchange(
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> {
        beforeSend()
        if (!request.sendGuard.permits()) return ExchangeResult.NotSent("withheld")
        val address = request.url.substringAfter("//").substringBefore('/')
        requestedAddresses += address
        val id = request.headers["id"].orEmpty()
        return respond(address, id, request) { response ->
            val headers = HeadersBuilder().apply { appendAll(response.headers) }
            if (address in leaving) headers["leaving"] = "true"
            handle(TargetResponse(response.status, headers.build(), response.body, response.connection))
        }
    }

    private suspend fun <T> respond(
        address: String,
        id: String,
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> = when (val behaviour = behaviours[address] ?: Behaviour.Response()) {
        is Behaviour.Response -> ExchangeResult.Answered(handle(answer(behaviour.status, id, behaviour.notRun)))

        is Behaviour.Late -> {
            delay(behaviour.after)
            ExchangeResult.Answered(handle(answer(200, id, notRun = false)))
        }

        is Behaviour.Streaming -> ExchangeResult.Answered(handle(opened(behaviour, id, request.headers)))

        is Behaviour.MismatchedResponse ->
            ExchangeResult.Answered(handle(answer(behaviour.status, "other", notRun = false)))

        is Behaviour.Misdirected -> {
            val use = ConnectionUse("c", behaviour.exchange, age = Duration.ZERO)
            val body = ResponseBody { BodyPart.End(clean = true) }
            ExchangeResult.Answered(handle(TargetResponse(421, Headers.Empty, body, use)))
        }

        Behaviour.Disconnect -> ExchangeResult.Broken("broke off")

        Behaviour.Garbage -> ExchangeResult.Broken("no response", cause = BreakCause.INVALID_ANSWER)

        Behaviour.ClosedConnection -> ExchangeResult.NotSent("the connection is closed", unreachable = false)

        Behaviour.Silence -> awaitCancellation()

        Behaviour.Unreachable -> ExchangeResult.NotSent("refused")
    }

    private fun opened(behaviour: Behaviour.Streaming, id: String, requestHeaders: Headers): TargetResponse =
        when (behaviour) {
            is Behaviour.EventStream -> stream(behaviour, requestHeaders)
            is Behaviour.Overflow -> overflow(behaviour, requestHeaders)
            is Behaviour.Endless -> endless(behaviour, id)
            is Behaviour.SlowStream -> slow(behaviour, requestHeaders)
        }

    private fun answer(status: Int, id: String, notRun: Boolean): TargetResponse {
        val parts = ArrayDeque(listOf<BodyPart>(BodyPart.Bytes("body".encodeToByteArray())))
        val headers = headersOf("id" to listOf(id), "signature" to listOf("s"), "notRun" to listOf("$notRun"))
        return TargetResponse(status, headers, ResponseBody { parts.removeFirstOrNull() ?: BodyPart.End(clean = true) })
    }

    private fun stream(behaviour: Behaviour.EventStream, requestHeaders: Headers): TargetResponse {
        val first = (requestHeaders["after"]?.toLong() ?: 0) + 1
        val last = behaviour.breakAfter ?: behaviour.events
        val parts = ArrayDeque((first..last).map<Long, BodyPart> { BodyPart.Bytes("id: $it\n\n".encodeToByteArray()) })
        parts += BodyPart.End(clean = behaviour.breakAfter == null)
        val headers = HeadersBuilder().apply {
            append("id", requestHeaders["id"].orEmpty())
            behaviour.signature?.let { append("signature", it) }
            if (behaviour.isFramed) append(HttpHeaders.TransferEncoding, "chunked")
            if (first <= last) behaviour.weights?.let { append("weights", "$it") }
        }
        return TargetResponse(200, headers.build(), ResponseBody { parts.removeFirst() })
    }

    private fun overflow(behaviour: Behaviour.Overflow, requestHeaders: Headers): TargetResponse {
        var number = requestHeaders["after"]?.toLong() ?: 0
        val last = maxOf(number, behaviour.events) + behaviour.excessEvents
        val excess = "x".repeat(behaviour.excessData)
        val body = ResponseBody {
            delay(behaviour.interval)
            yield()
            val data = if (++number <= behaviour.events) "" else "data: $excess\n"
            if (number >
                last
            ) {
                BodyPart.End(clean = false)
            } else {
                BodyPart.Bytes("id: $number\n$data\n".encodeToByteArray())
            }
        }
        return TargetResponse(200, stream(Behaviour.EventStream(), requestHeaders).headers, body)
    }

    private fun endless(behaviour: Behaviour.Endless, id: String): TargetResponse {
        val body = ResponseBody {
            delay(behaviour.interval)
            yield()
            BodyPart.Bytes(behaviour.chunk)
        }
        return TargetResponse(200, headersOf("id" to listOf(id), "signature" to listOf("s")), body)
    }

    private fun slow(behaviour: Behaviour.SlowStream, requestHeaders: Headers): TargetResponse {
        val events = stream(Behaviour.EventStream(), requestHeaders)
        val body = ResponseBody {
            delay(behaviour.interval)
            events.body.next()
        }
        return TargetResponse(events.status, events.headers, body)
    }

    override fun headers(request: OutgoingRequest, replica: Replica): Headers =
        headersOf("id" to listOf(request.id), "after" to listOf("${request.resumeAfter ?: 0}"))

    override fun head(status: Int, headers: Headers) = ResponseHead(
        status = status,
        requestId = headers["id"],
        signature = headers["signature"],
        notRun = headers["notRun"] == "true",
        weights = headers["weights"]?.toLong(),
        load = null,
        leaving = headers["leaving"] == "true",
    )

    override fun event(text: String): SampleEvent? {
        val lines = text.trim().lines()
        val data = lines.drop(1).joinToString("\n") { it.removePrefix("data: ") }
        return lines.first().removePrefix("id: ").toLongOrNull()?.let { SampleEvent(it, data) }
    }

    override fun close() = Unit
}
