package dev.vanillarun.daemon.forward

import dev.vanillarun.core.answer.ResponseFault
import dev.vanillarun.core.answer.StreamCheck
import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.daemon.caller.EXECUTION_HEADER
import dev.vanillarun.daemon.caller.ErrorAnswer
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
 * Passes the events of one streamed answer on.
 *
 * Only whole events pass, each after it was checked, and the end mark passes only after a whole stream.
 */
internal class StreamRelay(
    private val progress: CallProgress,
    private val limitBytes: Long,
    maxTokens: Long,
    private val onBytes: () -> Unit,
) {
    private val splitter = EventSplitter()
    private val caller = checkNotNull(progress.stream) { "only callers get streams" }
    private var check = StreamCheck(maxTokens, tokens = progress.relayed.tokens)
    private var passed = 0L
    private var figures: TokenFigures? = null

    suspend fun relay(answer: TargetResponse): AttemptOutcome {
        while (true) {
            when (val part = answer.body.next()) {
                is BodyPart.Bytes -> {
                    onBytes()
                    val fault = pass(answer, splitter.feed(part.bytes))
                    if (fault != null) return failed(fault)
                }

                is BodyPart.End -> {
                    val fault = check.endFault()
                    return if (fault == null) done() else failed(fault)
                }
            }
        }
    }

    private suspend fun pass(answer: TargetResponse, events: List<ByteArray>): ResponseFault? {
        for (bytes in events) {
            val event = CompletionEvent.read(bytes)
            val fault = examine(event, bytes.size)
            if (fault != null) return fault
            open(answer)
            caller.write(bytes)
            if (event is CompletionEvent.Part) progress.relayed.add(event.text, event.tokens)
        }
        val pending = splitter.pending.toLong()
        return if (passed + pending > limitBytes) ResponseFault.TooLong(passed + pending, limitBytes) else null
    }

    private fun examine(event: CompletionEvent, size: Int): ResponseFault? {
        passed += size
        when (event) {
            is CompletionEvent.Part -> {
                if (event.failed) return ResponseFault.Truncated(check.tokens)
                val tokens = event.tokens ?: if (event.text.isEmpty()) 0 else 1
                check = check.event(tokens, event.finishes)
                figures = event.usage ?: figures
            }

            CompletionEvent.End -> check = check.end()

            CompletionEvent.Damaged -> return ResponseFault.Truncated(check.tokens)

            CompletionEvent.Comment -> Unit
        }
        return check.fault()
    }

    private suspend fun open(answer: TargetResponse) {
        if (caller.isOpen) return
        val headers = HeadersBuilder()
        headers.appendAll(HeaderRules.towardsCaller(answer.headers))
        headers.remove("Content-Type")
        headers[EXECUTION_HEADER] = Execution.RAN.wire
        caller.open(ContentType.Text.EventStream, HttpStatusCode.fromValue(answer.status), headers.build())
    }

    private fun done(): AttemptOutcome {
        val known = figures
        return AttemptOutcome.Streamed(known ?: TokenFigures(completionTokens = check.tokens))
    }

    private fun failed(fault: ResponseFault): AttemptOutcome.Failed = AttemptOutcome.Failed(
        execution = Execution.UNKNOWN,
        signal = if (fault is ResponseFault.Truncated) HealthSignal.LinkFailure else HealthSignal.ErrorAnswer,
        error = faultAnswer(fault),
        broken = fault is ResponseFault.Truncated,
    )
}

/** What the caller is told of [fault]. */
internal fun faultAnswer(fault: ResponseFault): ErrorAnswer = when (fault) {
    is ResponseFault.Truncated -> broken("the target broke off its answer")
    is ResponseFault.WrongRequest -> broken("the target answered another request")
    is ResponseFault.TooLong -> ErrorAnswer(ErrorType.ANSWER_TOO_LARGE, "the answer is too long", Execution.UNKNOWN)
}

private fun broken(message: String) = ErrorAnswer(ErrorType.BROKEN_ANSWER, message, Execution.UNKNOWN, 1.seconds)
