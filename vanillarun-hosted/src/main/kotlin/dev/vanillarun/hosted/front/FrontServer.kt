package dev.vanillarun.hosted.front

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.CatalogCustomer
import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.KeyDecision
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.authorize
import dev.vanillarun.core.request.RequestFault
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.caller.messageFault
import dev.vanillarun.daemon.forward.HeaderRules
import dev.vanillarun.daemon.stream.CallerStream
import dev.vanillarun.hosted.HeapMonitor
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.duty.UsageMeter
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.live.LiveOutcome
import dev.vanillarun.hosted.live.LiveRequest
import dev.vanillarun.hosted.live.StreamForwarder
import dev.vanillarun.hosted.live.StreamSink
import dev.vanillarun.hosted.recordIfPossible
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
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A caller's request with its complete body. */
private class IncomingRequest(
    val head: RequestHead,
    val metadata: CallMetadata,
    val body: ByteArray,
    val received: Instant,
    val tracked: TrackedCall,
)

/** Media type of the Content-Type header; null if the header is missing or invalid. */
private fun Headers.mediaType(): ContentType? = try {
    this[HttpHeaders.ContentType]?.let(ContentType::parse)
} catch (_: BadContentTypeFormatException) {
    null
}

/** Passes the events of a target's stream to the caller. */
private class CallerSink(private val stream: CallerStream) : StreamSink {
    override suspend fun open(status: Int, headers: Headers) {
        val remaining = HeadersBuilder().apply { appendAll(headers) }.apply { remove(HttpHeaders.ContentType) }.build()
        stream.open(headers.mediaType() ?: ContentType.Text.EventStream, HttpStatusCode.fromValue(status), remaining)
    }

    override suspend fun event(bytes: ByteArray) = stream.write(bytes)
}

/** HTTP handler for callers: finds the operation, route and customer of a request, executes it and responds. */
internal class FrontServer(
    private val dialect: CallerDialect,
    private val catalog: CatalogSource,
    private val live: LiveForwarder,
    private val streams: StreamForwarder,
    private val jobs: JobEndpoint,
    private val usage: UsageMeter,
    private val calls: CallCounter,
    private val admission: CallAdmission,
    private val heap: HeapMonitor,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    /** Installs the handling of all calls in [application]. */
    fun install(application: Application) {
        application.install(HttpRequestLifecycle) { cancelCallOnClose = true }
        application.intercept(ApplicationCallPipeline.Call) {
            calls.track(context.request.headers[dialect.idHeader]) { handleOrReport(context, it) }
        }
    }

    /** Handles [call], and records an unexpected error; the server responds to it with status 500. */
    @Suppress("TooGenericExceptionCaught") // Any defect that one call brings to light.
    private suspend fun handleOrReport(call: ApplicationCall, tracked: TrackedCall) {
        val received = clock.now()
        try {
            handle(call, tracked)
        } catch (e: CancellationException) {
            throw e
        } catch (e: IOException) {
            throw e // the connection of the caller
        } catch (e: Throwable) {
            heap.failed("call", e)
            if (!tracked.isRecorded) calls.recordResponse(SERVER_ERROR, clock.now() - received)
            events.recordIfPossible("request.failed", EventLinks(request = tracked.id)) {
                val place = e.stackTrace.firstOrNull()?.toString().orEmpty()
                mapOf("reason" to "$e", "at" to place, "method" to call.request.httpMethod.value)
            }
            throw e
        }
    }

    private suspend fun handle(call: ApplicationCall, tracked: TrackedCall) {
        val received = clock.now()
        val head = RequestHead(call.request.httpMethod.value, call.request.uri, call.request.headers)
        val metadata = dialect.metadata(head)
        metadata.id?.let { call.response.header(dialect.idHeader, it) }
        val body = call.receive<ByteArray>()
        val request = IncomingRequest(head, metadata, body, received, tracked)
        val fault = call.messageFault() ?: repeatedField(head)
        if (fault == null) handleAndRespond(call, request) else refuse(call, request, fault)
    }

    /** Sends [reply] by [send] and records it, also if the caller has left by the time that it is sent. */
    private suspend fun respond(request: IncomingRequest, reply: Reply, send: suspend () -> Unit) = try {
        send()
    } finally {
        val elapsed = clock.now() - request.received
        calls.recordResponse(reply.status, elapsed)
        request.tracked.isRecorded = true
        val attributes = mapOf(
            "status" to "${reply.status}",
            "reason" to reply.reason,
            "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
            "catalog" to "${catalog.catalog.value?.version}",
            "method" to request.head.method,
        ) + reply.source?.attributes.orEmpty()
        val served = reply.status < FIRST_ERROR && reply.stream != StreamEnd.ABORTED
        val name = if (served) "request.served" else "request.ended"
        events.record(name, EventLinks(request = request.metadata.id), attributes)
    }

    private fun repeatedField(head: RequestHead): RequestFault? = dialect.singleHeaders.firstOrNull {
        head.headers.getAll(it).orEmpty().size > 1
    }?.let(RequestFault::RepeatedField)

    private suspend fun refuse(call: ApplicationCall, request: IncomingRequest, fault: RequestFault) {
        val reply = Reply.faulty(fault)
        respond(request, reply) { call.send(reply) }
    }

    /** Handles [request] and sends the response; the events of a stream are sent as they arrive. */
    private suspend fun handleAndRespond(call: ApplicationCall, request: IncomingRequest) = coroutineScope {
        val stream = CallerStream(call, this)
        val reply = admission.untilCutOff { reply(request, CallerSink(stream)) } ?: cutOff(stream)
        respond(request, reply) {
            when (reply.stream) {
                null -> call.send(reply)
                StreamEnd.COMPLETE -> stream.finish()
                StreamEnd.ABORTED -> stream.breakOff()
            }
        }
    }

    /** The target may have run the request, and an open [stream] is incomplete. */
    private fun cutOff(stream: CallerStream): Reply {
        val reason = "the instance stops"
        return if (stream.isOpen) Reply(OK, reason, stream = StreamEnd.ABORTED) else Reply(GATEWAY_TIMEOUT, reason)
    }

    private suspend fun reply(request: IncomingRequest, sink: StreamSink): Reply {
        val currentCatalog = catalog.catalog.value ?: return Reply.notRun("no catalog yet", NOT_READY_RETRY_AFTER)
        return when (val operation = dialect.call(request.head)) {
            is CallerCall.Malformed -> Reply.malformed(operation.message)
            CallerCall.Request -> handleRouteRequest(currentCatalog, request, sink)
            else -> handleJobCall(operation, currentCatalog, request)
        }
    }

    private suspend fun handleRouteRequest(currentCatalog: Catalog, request: IncomingRequest, sink: StreamSink): Reply {
        val metadata = request.metadata
        val route = currentCatalog.route(metadata.host, request.head.path)
        val authorization = currentCatalog.authorize(route, metadata.key)
        return when {
            authorization !is KeyDecision.Allowed ->
                reject(UnknownKey, currentCatalog) { handleRouteRequest(it, request, sink) }

            route == null -> reject(NoRoute, currentCatalog) { handleRouteRequest(it, request, sink) }

            !admission.admits(request.deadline(route)) -> Stopping

            route.kind == RequestKind.ROLLOUT ->
                jobs.submit(request.head, metadata, route, authorization.customer, request.body)

            else -> forward(request.toLiveRequest(route, authorization.customer), sink)
        }
    }

    private suspend fun handleJobCall(operation: CallerCall, currentCatalog: Catalog, request: IncomingRequest): Reply {
        val authorization = currentCatalog.authorize(null, request.metadata.key)
        return when {
            !admission.admits(request.received + operation.longest) -> Stopping

            authorization !is KeyDecision.Allowed ->
                reject(UnknownKey, currentCatalog) { handleJobCall(operation, it, request) }

            else -> jobs.handle(operation, authorization.customer)
        }
    }

    /**
     * Rejects for good only by a catalog that the store has confirmed; otherwise the caller may try again. If the
     * catalog has changed since [decidedBy], the decision is made anew.
     */
    private suspend fun reject(reply: Reply, decidedBy: Catalog, decide: suspend (Catalog) -> Reply): Reply {
        if (!catalog.confirmCurrent()) return Reply.notRun("not sure: ${reply.reason}", STALE_CATALOG_RETRY_AFTER)
        val newest = catalog.catalog.value
        return if (newest == null || newest === decidedBy) reply else decide(newest)
    }

    private suspend fun forward(request: LiveRequest, sink: StreamSink): Reply {
        val isStream = request.route.kind == RequestKind.STREAM
        val outcome = if (isStream) streams.serve(request, sink) else live.serve(request)
        return when (outcome) {
            is LiveOutcome.Complete -> outcome.run { Reply(status, "answered", body, headers, source = source) }
            is LiveOutcome.NotRun -> Reply.notRun(outcome.reason, live.retryAfter(request))
            is LiveOutcome.Unknown -> Reply(if (outcome.timedOut) GATEWAY_TIMEOUT else BAD_GATEWAY, outcome.reason)
            is LiveOutcome.Streamed -> Reply.streamed(outcome)
        }
    }

    private fun IncomingRequest.toLiveRequest(route: CatalogRoute, customer: CatalogCustomer?) = LiveRequest(
        id = metadata.id.orEmpty(),
        method = head.method,
        uri = head.uri,
        host = metadata.host,
        headers = HeaderRules.towardsTarget(head.headers, secret = null),
        body = body,
        route = route,
        customer = customer,
        received = received,
        deadline = deadline(route),
        resumeAfter = metadata.resumeAfter.takeIf { route.resumable },
        onPassedOn = { target, at -> tracked.passedOn = PassedOn(target, at) },
        onRunning = { since -> customer?.let { usage.count(it.id, since) } },
    )

    private fun IncomingRequest.deadline(route: CatalogRoute): Instant =
        received + minOf(metadata.timeLeft ?: Duration.INFINITE, route.timeout)

    private val CallerCall.longest: Duration
        get() = MAX_JOB_CALL_TIME + if (this is CallerCall.Results) wait else Duration.ZERO

    private suspend fun ApplicationCall.send(reply: Reply) {
        reply.headers.forEach { name, values ->
            val isSet = name.equals(HttpHeaders.ContentType, ignoreCase = true) || name in response.headers
            if (!isSet) values.forEach { response.header(name, it) }
        }
        reply.retryAfter?.let {
            response.header(HttpHeaders.RetryAfter, it.toString(DurationUnit.SECONDS, decimals = 2).removeSuffix("s"))
        }
        respond(ByteArrayContent(reply.body, reply.headers.mediaType(), HttpStatusCode.fromValue(reply.status)))
    }

    private companion object {
        const val OK = 200
        const val FIRST_ERROR = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val GATEWAY_TIMEOUT = 504
        val UnknownKey = Reply(UNAUTHORIZED, "the key is unknown")
        val NoRoute = Reply(NOT_FOUND, "no route")
        val NOT_READY_RETRY_AFTER = 300.milliseconds

        /** Without delay, as the retry reaches another instance. */
        val Stopping = Reply.notRun("the instance stops", 50.milliseconds)

        /** Longest time of a call for a job, without the wait for results. */
        val MAX_JOB_CALL_TIME = 3.seconds

        /** Short, as another instance may have the current catalog already. */
        val STALE_CATALOG_RETRY_AFTER = 50.milliseconds
    }
}
