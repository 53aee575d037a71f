package dev.vanillarun.daemon.forward

import dev.vanillarun.core.answer.ResponseFault
import dev.vanillarun.core.answer.StreamCheck
import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.daemon.caller.EXECUTION_HEADER
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.ErrorType
import dev.vanillarun.daemon.stream.CompletionEvent
import dev.vanillarun.daemon.stream.EventSplitter
import dev.vanillarun.daemon.stream.TokenFigures
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.daemon.target.TargetResponse
import io.ktor.http.ContentType
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpStatusCode
import kotlin.time.Duration.Companion.seconds

/**
 * Relays the events of one streamed response to the caller.
 *
 * Only complete events are relayed, each after it was checked, and the end marker only after a complete stream.
 */
internal class StreamRelay(
    private val progress: CallProgress,
    private val maxBytes: Long,
    maxTokens: Long,
    private val onBytes: () -> Unit,
) {
    private val splitter = EventSplitter()
    private val callerStream = checkNotNull(progress.stream) { "no stream to a caller" }
    private var check = StreamCheck(maxTokens, tokens = progress.relayed.tokens)
    private var checkedBytes = 0L
    private var figures: TokenFigures? = null

    suspend fun relay(answer: TargetResponse): AttemptOutcome {
        while (true) {
            when (val part = answer.body.next()) {
                is BodyPart.Bytes -> {
                    onBytes()
                    val fault = relayEvents(answer, splitter.feed(part.bytes))
                    if (fault != null) return failed(fault)
                }

                is BodyPart.End -> {
                    val fault = check.endFault()
                    return if (fault == null) completed() else failed(fault)
                }
            }
        }
    }

    private suspend fun relayEvents(answer: TargetResponse, events: List<ByteArray>): ResponseFault? {
        for (bytes in events) {
            val event = CompletionEvent.read(bytes)
            val fault = checkEvent(event, bytes.size)
            if (fault != null) return fault
            open(answer)
            callerStream.write(bytes)
            if (event is CompletionEvent.Part) progress.relayed.add(event.text, event.tokens)
        }
        val pending = splitter.pending.toLong()
        return if (checkedBytes + pending > maxBytes) ResponseFault.TooLong(checkedBytes + pending, maxBytes) else null
    }

    private fun checkEvent(event: CompletionEvent, size: Int): ResponseFault? {
        checkedBytes += size
        when (event) {
            is CompletionEvent.Part -> {
                if (event.failed) return ResponseFault.Truncated(check.tokens)
                val tokens = event.tokens ?: if (event.text.isEmpty()) 0 else 1
                check = check.event(tokens, event.finishes)
                figures = event.usage ?: figures
            }

            CompletionEvent.End -> check = check.end()

            CompletionEvent.Malformed -> return ResponseFault.Truncated(check.tokens)

            CompletionEvent.Comment -> Unit
        }
        return check.fault()
    }

    private suspend fun open(answer: TargetResponse) {
        if (callerStream.isOpen) return
        val headers = HeadersBuilder()
        headers.appendAll(HeaderRules.towardsCaller(answer.headers))
        headers.remove("Content-Type")
        headers[EXECUTION_HEADER] = Execution.RAN.wire
        callerStream.open(ContentType.Text.EventStream, HttpStatusCode.fromValue(answer.status), headers.build())
    }

    private fun completed(): AttemptOutcome {
        val reported = figures
        return AttemptOutcome.Streamed(reported ?: TokenFigures(completionTokens = check.tokens))
    }

    private fun failed(fault: ResponseFault): AttemptOutcome.Failed = AttemptOutcome.Failed(
        execution = Execution.UNKNOWN,
        signal = if (fault is ResponseFault.Truncated) HealthSignal.LinkFailure else HealthSignal.ErrorResponse,
        error = faultAnswer(fault),
        disconnected = fault is ResponseFault.Truncated,
    )
}

/** Error for the caller after [fault]. */
internal fun faultAnswer(fault: ResponseFault): ErrorResponse = when (fault) {
    is ResponseFault.Truncated -> badResponse("the target cut its response short")
    is ResponseFault.WrongRequest -> badResponse("the response belongs to another request")
    is ResponseFault.TooLong -> ErrorResponse(ErrorType.ANSWER_TOO_LARGE, "the response is too long", Execution.UNKNOWN)
}

private fun badResponse(message: String) = ErrorResponse(ErrorType.BROKEN_ANSWER, message, Execution.UNKNOWN, 1.seconds)
