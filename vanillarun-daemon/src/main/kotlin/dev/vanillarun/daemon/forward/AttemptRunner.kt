package dev.vanillarun.daemon.forward

import dev.vanillarun.core.answer.ResponseFault
import dev.vanillarun.core.answer.requestIdFault
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.health.ConnectionDecision
import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.daemon.caller.CallerRequest
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.ErrorType
import dev.vanillarun.daemon.dispatch.RunningAttempt
import dev.vanillarun.daemon.dispatch.SilenceMonitor
import dev.vanillarun.daemon.target.BreakCause
import dev.vanillarun.daemon.target.ExchangeResult
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.daemon.target.TargetResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlin.time.Duration.Companion.seconds

/** Runs one attempt of a call at one target and checks the response. */
internal class AttemptRunner(
    private val client: TargetClient,
    private val silence: SilenceMonitor,
    private val maxAnswerBytes: Long,
) {
    suspend fun attempt(
        request: CallerRequest,
        progress: CallProgress,
        running: RunningAttempt,
        priority: Int,
    ): AttemptOutcome {
        val exchangeId = RequestId("${request.id}.${progress.attempts}")
        val outgoing = TargetRequests.build(request, running.state.target, exchangeId, progress, priority)
        val previousExecution = progress.execution
        progress.execution = Execution.UNKNOWN
        val exchange = withSilenceWatch(running) { watched ->
            client.exchange(outgoing) { receive(it, exchangeId, request, progress, watched) }
        }
        return when (exchange) {
            is ExchangeResult.Answered -> exchange.value

            is ExchangeResult.NotSent -> {
                progress.execution = previousExecution
                unreachable(Execution.NOT_RUN)
            }

            is ExchangeResult.Broken -> unreachable(Execution.UNKNOWN)

            ExchangeResult.DeadConnection -> connectionLost
        }
    }

    /** Runs [block], and cancels it if its connection is found dead or its target unresponsive. */
    private suspend fun withSilenceWatch(
        running: RunningAttempt,
        block: suspend (SilenceMonitor.MonitoredConnection) -> ExchangeResult<AttemptOutcome>,
    ): ExchangeResult<AttemptOutcome> {
        var watched: SilenceMonitor.MonitoredConnection? = null
        return try {
            coroutineScope {
                val entry = silence.watch(running, coroutineContext.job).also { watched = it }
                block(entry)
            }
        } catch (e: CancellationException) {
            currentCoroutineContext().ensureActive()
            when (watched?.verdict) {
                null -> throw e
                ConnectionDecision.DEAD_CONNECTION -> ExchangeResult.DeadConnection
                else -> ExchangeResult.Broken("target went silent", cause = BreakCause.CONNECTION_SILENT)
            }
        } finally {
            watched?.let(silence::unwatch)
        }
    }

    private suspend fun receive(
        answer: TargetResponse,
        exchangeId: RequestId,
        request: CallerRequest,
        progress: CallProgress,
        watched: SilenceMonitor.MonitoredConnection,
    ): AttemptOutcome {
        watched.received(stream = false)
        val model = request.route.kind == RouteKind.MODEL
        val idFault =
            requestIdFault(exchangeId, answer.headers[ECHO_HEADER], echoRequired = model && answer.isSuccess())
        if (idFault != null) return faulty(idFault)
        if (model && progress.stream != null && answer.isEventStream()) {
            val relay = StreamRelay(progress, maxAnswerBytes, request.maxTokens) { watched.received(stream = true) }
            return relay.relay(answer)
        }
        return readComplete(answer, request, model, watched)
    }

    private suspend fun readComplete(
        answer: TargetResponse,
        request: CallerRequest,
        model: Boolean,
        watched: SilenceMonitor.MonitoredConnection,
    ): AttemptOutcome {
        val bodiless = request.method == "HEAD" || answer.status in BodilessStatuses
        val body = when (val read = answer.readWhole(maxAnswerBytes, bodiless) { watched.received(stream = false) }) {
            is BodyRead.Faulty -> return faulty(read.fault)
            is BodyRead.Complete -> read.bytes
        }
        val figures = if (model && answer.isSuccess()) completionFigures(body) else null
        if (model && answer.isSuccess() && figures == null) return faulty(ResponseFault.Truncated(body.size.toLong()))
        val type = answer.headers[HttpHeaders.ContentType]
        val response = CompleteResponse(answer.status, HeaderRules.towardsCaller(answer.headers), type, body)
        return if (answer.status in RetryableStatuses) refused(response) else AttemptOutcome.Complete(response, figures)
    }

    private fun refused(answer: CompleteResponse) = AttemptOutcome.Failed(
        execution = Execution.UNKNOWN,
        signal = if (answer.status == TOO_MANY_REQUESTS) null else HealthSignal.ErrorResponse,
        error = ErrorResponse(ErrorType.TARGET_UNAVAILABLE, "the target refused", Execution.UNKNOWN, 1.seconds),
        answer = answer,
    )

    private fun faulty(fault: ResponseFault) = AttemptOutcome.Failed(
        execution = Execution.UNKNOWN,
        signal = if (fault is ResponseFault.Truncated) HealthSignal.LinkFailure else HealthSignal.ErrorResponse,
        error = faultAnswer(fault),
        disconnected = fault is ResponseFault.Truncated,
    )

    private fun unreachable(execution: Execution) = AttemptOutcome.Failed(
        execution = execution,
        signal = HealthSignal.LinkFailure,
        error = ErrorResponse(ErrorType.TARGET_UNAVAILABLE, "no target could be reached", execution, 1.seconds),
        disconnected = execution != Execution.NOT_RUN,
    )

    private val connectionLost = unreachable(Execution.UNKNOWN)
        .copy(signal = null, disconnected = false, retrySameTarget = true)

    private fun TargetResponse.isSuccess(): Boolean = status < FIRST_ERROR

    private fun TargetResponse.isEventStream(): Boolean =
        isSuccess() && headers[HttpHeaders.ContentType].orEmpty().startsWith(ContentType.Text.EventStream.toString())

    private companion object {
        const val ECHO_HEADER = "X-Request-Id"
        const val FIRST_ERROR = 300
        const val TOO_MANY_REQUESTS = 429
        val RetryableStatuses = setOf(TOO_MANY_REQUESTS, 500, 502, 503, 504)
        val BodilessStatuses = setOf(204, 304)
    }
}
