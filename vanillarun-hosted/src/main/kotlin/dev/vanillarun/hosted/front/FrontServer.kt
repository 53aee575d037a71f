package dev.vanillarun.hosted.front

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.CatalogCustomer
import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.KeyVerdict
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.authorize
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.forward.HeaderRules
import dev.vanillarun.daemon.stream.CallerStream
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.duty.UsageMeter
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.live.LiveOutcome
import dev.vanillarun.hosted.live.LiveRequest
import dev.vanillarun.hosted.live.StreamForwarder
import dev.vanillarun.hosted.live.StreamSink
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receive
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respond
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** A caller's request, read whole. */
private class Incoming(val head: RequestHead, val metadata: CallMetadata, val body: ByteArray, val received: Instant)

/** Media type that a target named; null if it named none, or nothing that can be one. */
private fun Headers.mediaType(): ContentType? = try {
    this[HttpHeaders.ContentType]?.let(ContentType::parse)
} catch (_: BadContentTypeFormatException) {
    null
}

/** The caller as the reader of a stream. */
private class CallerSink(private val stream: CallerStream) : StreamSink {
    override suspend fun open(status: Int, headers: Headers) {
        val others = HeadersBuilder().apply { appendAll(headers) }.apply { remove(HttpHeaders.ContentType) }.build()
        stream.open(headers.mediaType() ?: ContentType.Text.EventStream, HttpStatusCode.fromValue(status), others)
    }

    override suspend fun event(bytes: ByteArray) = stream.write(bytes)
}

/** Serves callers: finds what they ask for, on which route and for which customer, and answers. */
internal class FrontServer(
    private val dialect: CallerDialect,
    private val catalog: CatalogSource,
    private val live: LiveForwarder,
    private val streams: StreamForwarder,
    private val jobs: JobEndpoint,
    private val usage: UsageMeter,
    private val calls: CallCount,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    /** Adds the behaviour towards callers to [application]. */
    fun install(application: Application) {
        application.install(HttpRequestLifecycle) { cancelCallOnClose = true }
        application.intercept(ApplicationCallPipeline.Call) { calls.counted { handle(context) } }
    }

    private suspend fun handle(call: ApplicationCall) {
        val received = clock.now()
        val head = RequestHead(call.request.httpMethod.value, call.request.uri, call.request.headers)
        val metadata = dialect.metadata(head)
        metadata.id?.let { call.response.header(dialect.idHeader, it) }
        if (calls.closing) call.response.header(HttpHeaders.Connection, "close")
        val body = call.receive<ByteArray>()
        val reply = answered(call, Incoming(head, metadata, body, received))
        val elapsed = clock.now() - received
        calls.answered(reply.status, elapsed)
        val what = mapOf(
            "status" to "${reply.status}",
            "reason" to reply.reason,
            "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
            "catalog" to "${catalog.catalog.value?.version}",
            "method" to head.method,
        )
        val served = reply.status < FIRST_ERROR && reply.stream != StreamEnd.BROKEN_OFF
        val name = if (served) "request.served" else "request.ended"
        events.record(name, EventLinks(request = metadata.id), what)
    }

    /** Answers [incoming] and says how; a stream is passed on as it comes. */
    private suspend fun answered(call: ApplicationCall, incoming: Incoming): Reply = coroutineScope {
        val stream = CallerStream(call, this)
        val reply = reply(incoming, CallerSink(stream))
        when (reply.stream) {
            null -> call.send(reply)
            StreamEnd.WHOLE -> stream.finish()
            StreamEnd.BROKEN_OFF -> stream.breakOff()
        }
        reply
    }

    private suspend fun reply(incoming: Incoming, sink: StreamSink): Reply {
        val known = catalog.catalog.value ?: return Reply.notRun("no catalog yet", NOT_READY_RETRY)
        return when (val asked = dialect.call(incoming.head)) {
            is CallerCall.Malformed -> Reply(BAD_REQUEST, "malformed: ${asked.message}")
            CallerCall.Request -> routed(known, incoming, sink)
            else -> jobCall(asked, known, incoming.metadata)
        }
    }

    private suspend fun routed(known: Catalog, incoming: Incoming, sink: StreamSink): Reply {
        val metadata = incoming.metadata
        val route = known.route(metadata.host, incoming.head.path)
        val verdict = known.authorize(route, metadata.key)
        return when {
            verdict !is KeyVerdict.Allowed -> certain(Reply(UNAUTHORIZED, "the key is unknown"))

            route == null -> certain(Reply(NOT_FOUND, "no route"))

            route.kind == RequestKind.ROLLOUT ->
                jobs.submit(incoming.head, metadata, route, verdict.customer, incoming.body)

            else -> forward(incoming.toward(route, verdict.customer), sink)
        }
    }

    private suspend fun jobCall(asked: CallerCall, known: Catalog, metadata: CallMetadata): Reply {
        val customer = when (val verdict = known.authorize(null, metadata.key)) {
            is KeyVerdict.Allowed -> verdict.customer
            KeyVerdict.Unknown -> return certain(Reply(UNAUTHORIZED, "the key is unknown"))
        }
        return jobs.answer(asked, customer)
    }

    /** A verdict that rests on something missing from the catalog needs a catalog that misses no change. */
    private fun certain(reply: Reply): Reply =
        if (catalog.isCurrent()) reply else Reply.notRun("not sure: ${reply.reason}", UNSURE_RETRY)

    private suspend fun forward(request: LiveRequest, sink: StreamSink): Reply {
        val isStream = request.route.kind == RequestKind.STREAM
        val outcome = if (isStream) streams.serve(request, sink) else live.serve(request)
        return when (outcome) {
            is LiveOutcome.Whole -> Reply(outcome.status, "answered", outcome.body, outcome.headers)
            is LiveOutcome.NotRun -> Reply.notRun(outcome.reason, retryAfter(request.route))
            is LiveOutcome.Unknown -> Reply(if (outcome.late) GATEWAY_TIMEOUT else BAD_GATEWAY, outcome.reason)
            is LiveOutcome.Streamed -> Reply.streamed(outcome)
        }
    }

    private fun Incoming.toward(route: CatalogRoute, customer: CatalogCustomer?) = LiveRequest(
        id = metadata.id.orEmpty(),
        method = head.method,
        uri = head.uri,
        host = metadata.host,
        headers = HeaderRules.towardsTarget(head.headers, secret = null),
        body = body,
        route = route,
        customer = customer,
        received = received,
        deadline = received + minOf(metadata.timeLeft ?: Duration.INFINITE, route.timeout),
        resumeAfter = metadata.resumeAfter.takeIf { route.resumable },
        onRunning = { since -> customer?.let { usage.count(it.id, since) } },
    )

    /** Soon enough for a further try within the objective, late enough that a place has become free. */
    private fun retryAfter(route: CatalogRoute): Duration = route.objective / RETRIES_IN_OBJECTIVE

    private suspend fun ApplicationCall.send(reply: Reply) {
        reply.headers.forEach { name, values ->
            if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) values.forEach { response.header(name, it) }
        }
        reply.retryAfter?.let {
            response.header(HttpHeaders.RetryAfter, it.toString(DurationUnit.SECONDS, decimals = 2).removeSuffix("s"))
        }
        respond(ByteArrayContent(reply.body, reply.headers.mediaType(), HttpStatusCode.fromValue(reply.status)))
    }

    private companion object {
        const val FIRST_ERROR = 400
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        const val RETRIES_IN_OBJECTIVE = 4
        val NOT_READY_RETRY = 300.milliseconds

        /** Other instances may know more at once. */
        val UNSURE_RETRY = 50.milliseconds
    }
}
