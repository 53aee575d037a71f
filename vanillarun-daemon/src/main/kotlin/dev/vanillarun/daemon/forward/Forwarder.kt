package dev.vanillarun.daemon.forward

import dev.vanillarun.core.admission.RefusalReason
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.quarantine.QuarantineLevel
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.caller.ActiveCalls
import dev.vanillarun.daemon.caller.CallerRequest
import dev.vanillarun.daemon.caller.EXECUTION_HEADER
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.ErrorType
import dev.vanillarun.daemon.caller.respondError
import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.dispatch.CrashMonitor
import dev.vanillarun.daemon.dispatch.CustomerLimits
import dev.vanillarun.daemon.dispatch.LimitDecision
import dev.vanillarun.daemon.dispatch.QueueResult
import dev.vanillarun.daemon.dispatch.QueuedRequest
import dev.vanillarun.daemon.dispatch.RouteQueues
import dev.vanillarun.daemon.event.recordCallEvent
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.daemon.stream.CallerStream
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respond
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Serves validated requests: customer limits, queueing, attempts, and the response to the caller. */
internal class Forwarder(
    private val limits: CustomerLimits,
    private val queues: RouteQueues,
    private val crashes: CrashMonitor,
    private val claims: ClaimGate,
    private val loop: AttemptLoop,
    private val active: ActiveCalls,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    private val metrics: DaemonMetrics,
    private val usage: UsageSink,
) {
    /** Serves [request], which arrived on [call], under [config]; returns after the response was sent and recorded. */
    suspend fun forward(call: ApplicationCall, request: CallerRequest, config: ActiveConfig) {
        val started = clock.now()
        coroutineScope {
            val stream = CallerStream(call, this)
            val progress = CallProgress(stream)
            val result = runLimited(request, progress, config)
            sendResult(call, request, stream, result)
            record(request, progress, result, clock.now() - started)
        }
    }

    /** Cancels the call at its deadline, or when its key is withdrawn. */
    private suspend fun runLimited(request: CallerRequest, progress: CallProgress, config: ActiveConfig): CallResult {
        var revoked = false
        val result = try {
            withTimeoutOrNull(request.deadline - clock.now()) {
                val activeCall = active.enter(request, coroutineContext.job)
                try {
                    admit(request, progress, config)
                } finally {
                    revoked = activeCall.revoked
                    active.leave(activeCall)
                }
            }
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            if (!revoked) throw e
            return failed(ErrorType.UNAUTHENTICATED, "the key was withdrawn", progress.execution)
        }
        return result ?: failed(ErrorType.DEADLINE_EXCEEDED, "the deadline passed", progress.execution, 1.seconds)
    }

    private suspend fun admit(request: CallerRequest, progress: CallProgress, config: ActiveConfig): CallResult {
        val fingerprint = Fingerprint.of(request.method, request.path, request.body)
        if (crashes.quarantineLevel(fingerprint) == QuarantineLevel.REFUSED) {
            val message = "the request crashed several targets"
            return failed(ErrorType.QUARANTINED, message, Execution.NOT_RUN, crashes.refusedFor(fingerprint))
        }
        val owner = request.owner ?: return enqueue(request, progress, config, ANONYMOUS)
        return when (val decision = limits.acquire(owner.customer, request.work.work)) {
            is LimitDecision.TooMany ->
                failed(ErrorType.QUEUE_FULL, "too many requests in progress", retryAfter = decision.retryAfter)

            is LimitDecision.TooFast ->
                failed(ErrorType.RATE_LIMITED, "over the customer's rate", retryAfter = decision.retryAfter)

            LimitDecision.Granted -> try {
                enqueue(request, progress, config, owner.customer.id)
            } finally {
                limits.release(owner.customer.id, request.work.work, progress.actualWork)
            }
        }
    }

    private suspend fun enqueue(
        request: CallerRequest,
        progress: CallProgress,
        config: ActiveConfig,
        customer: CustomerId,
    ): CallResult {
        val queue = queues[request.route.name]
            ?: return failed(ErrorType.NO_ROUTE, "the route was removed", Execution.NOT_RUN)
        val turn = queue.await(QueuedRequest(customer, request.route.priority, request.work, request.deadline))
        if (turn is QueueResult.Refused) return rejected(turn)
        val ticket = (turn as QueueResult.Granted).ticket
        val priority = config.config.priorities.indexOfFirst { it.name == request.route.priority }
        val signalPlaced = Once { queue.placed() }
        try {
            return claims.runOnce(request, customer, progress) {
                loop.run(request, progress, priority.coerceAtLeast(0)) { signalPlaced.run() }
            }
        } finally {
            signalPlaced.run()
            queue.finish(ticket, progress.actualWork)
        }
    }

    private fun rejected(turn: QueueResult.Refused): CallResult = when (turn.reason) {
        RefusalReason.QUEUE_FULL -> failed(ErrorType.QUEUE_FULL, "the queue is full", retryAfter = turn.retryAfter)

        RefusalReason.DEADLINE ->
            failed(ErrorType.DEADLINE_EXCEEDED, "not possible before the deadline", retryAfter = turn.retryAfter)
    }

    private fun failed(
        type: ErrorType,
        message: String,
        execution: Execution = Execution.NOT_RUN,
        retryAfter: Duration? = null,
    ) = CallResult.Failed(ErrorResponse(type, message, execution, retryAfter))

    private suspend fun sendResult(
        call: ApplicationCall,
        request: CallerRequest,
        stream: CallerStream,
        result: CallResult,
    ) {
        when (result) {
            is CallResult.Streamed -> stream.finish()

            is CallResult.Complete -> call.respondWith(result.answer)

            is CallResult.Failed -> when {
                stream.isOpen -> stream.abort(result.error, request.id)
                else -> call.respondError(request.id, result.error)
            }
        }
    }

    private suspend fun ApplicationCall.respondWith(answer: CompleteResponse) {
        answer.headers.forEach { name, values ->
            if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) values.forEach { response.header(name, it) }
        }
        response.header(EXECUTION_HEADER, answer.execution.wire)
        val type = answer.contentType?.let(::mediaType)
        respond(ByteArrayContent(answer.body, type, HttpStatusCode.fromValue(answer.status)))
    }

    private fun mediaType(text: String): ContentType = try {
        ContentType.parse(text)
    } catch (_: BadContentTypeFormatException) {
        ContentType.Application.OctetStream
    }

    private fun record(request: CallerRequest, progress: CallProgress, result: CallResult, elapsed: Duration) {
        val resultName = when (result) {
            is CallResult.Complete -> "whole"
            is CallResult.Streamed -> "streamed"
            is CallResult.Failed -> result.error.type.wire
        }
        val customer = request.owner?.customer?.id
        if (result !is CallResult.Failed && customer != null) usage.answered(customer, progress.figures)
        metrics.recordResponse(request.route.name.value, resultName, elapsed)
        metrics.recordTokens(request.route.name.value, if (request.json == null) 0 else progress.actualWork)
        events.recordCallEvent(
            "request.ended",
            request.id,
            progress.lastFailureEvent,
            "route" to request.route.name.value,
            "customer" to customer?.value,
            "result" to resultName,
            "execution" to progress.execution.wire,
            "attempts" to progress.attempts,
            "target" to progress.triedTargets.lastOrNull()?.value,
            "elapsed_ms" to elapsed.inWholeMilliseconds,
        )
    }

    private companion object {
        /** Customer id in the queue for all callers without a key, which open routes accept. */
        val ANONYMOUS = CustomerId("")
    }
}

/** Runs [action] at most once. */
private class Once(private val action: () -> Unit) {
    private var done = false

    fun run() {
        if (done) return
        done = true
        action()
    }
}
