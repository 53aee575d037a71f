package dev.vanillarun.daemon.forward

import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.stream.TokenFigures
import io.ktor.http.Headers

/** A target's response that was read to its end and passed all checks. */
public class CompleteResponse(
    /** HTTP status code from the target. */
    public val status: Int,
    /** Response headers after [HeaderRules.towardsCaller]. */
    public val headers: Headers,
    /** Value of `Content-Type`; null if the target sent none. */
    public val contentType: String?,
    /** Complete body as received. */
    public val body: ByteArray,
) {
    /** Whether the request ran, as far as the status shows: a server error leaves it unknown. */
    public val execution: Execution get() = if (status < FIRST_SERVER_ERROR) Execution.RAN else Execution.UNKNOWN

    internal companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}

/** Result of one attempt at one target. */
public sealed interface AttemptOutcome {
    /** The target sent a complete response. */
    public data class Complete(
        /** The response to return to the caller. */
        public val answer: CompleteResponse,
        /** Token counts of a completion; null for other responses. */
        public val figures: TokenFigures?,
    ) : AttemptOutcome

    /** A complete stream was relayed to the caller. */
    public data class Streamed(
        /** Token counts of the stream. */
        public val figures: TokenFigures,
    ) : AttemptOutcome

    /** The attempt gave no complete response. */
    public data class Failed(
        /** Whether the target may have run this attempt. */
        public val execution: Execution,
        /** Effect on the target's health; null if the failure says nothing about the target. */
        public val signal: HealthSignal?,
        /** Error for the caller if no other attempt succeeds. */
        public val error: ErrorResponse,
        /** The target's own error response, returned in place of [error] if this attempt is the last. */
        public val answer: CompleteResponse? = null,
        /** True if the connection broke and the target may have crashed. */
        public val disconnected: Boolean = false,
        /** True if only the connection failed, so that the same target can be retried on another one. */
        public val retrySameTarget: Boolean = false,
    ) : AttemptOutcome
}

/** Result of a call after all its attempts. */
public sealed interface CallResult {
    /** A complete response to return. */
    public data class Complete(
        /** The response to return to the caller. */
        public val answer: CompleteResponse,
    ) : CallResult

    /** A stream that was relayed to its end. */
    public data object Streamed : CallResult

    /** The call failed. */
    public data class Failed(
        /** Error to send to the caller. */
        public val error: ErrorResponse,
    ) : CallResult
}
