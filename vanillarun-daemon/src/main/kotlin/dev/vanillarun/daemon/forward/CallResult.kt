package dev.vanillarun.daemon.forward

import dev.vanillarun.core.health.HealthSignal
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.daemon.caller.ErrorAnswer
import dev.vanillarun.daemon.stream.TokenFigures
import io.ktor.http.Headers

/** A target's answer that was read to its end and found whole. */
public class CompleteResponse(
    /** HTTP status. */
    public val status: Int,
    /** Headers that the caller may see. */
    public val headers: Headers,
    /** Value of `Content-Type`. */
    public val contentType: String?,
    /** Body. */
    public val body: ByteArray,
) {
    /** What the status tells about the run. */
    public val execution: Execution get() = if (status < FIRST_SERVER_ERROR) Execution.RAN else Execution.UNKNOWN

    internal companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}

/** How one attempt ended. */
public sealed interface AttemptOutcome {
    /** A whole answer came. */
    public data class Whole(
        /** The answer. */
        public val answer: CompleteResponse,
        /** Figures, if it is a completion. */
        public val figures: TokenFigures?,
    ) : AttemptOutcome

    /** A whole stream was passed on. */
    public data class Streamed(
        /** Figures. */
        public val figures: TokenFigures,
    ) : AttemptOutcome

    /** No whole answer came. */
    public data class Failed(
        /** Whether this attempt may have run. */
        public val execution: Execution,
        /** What it tells about the target. */
        public val signal: HealthSignal?,
        /** What the caller is told if no other attempt succeeds. */
        public val error: ErrorAnswer,
        /** The target's own answer, where that is more honest than [error]. */
        public val answer: CompleteResponse? = null,
        /** True if the connection broke, so that the target may have crashed. */
        public val broken: Boolean = false,
        /** True if only the connection failed, so that the same target may take the request on another one. */
        public val mayTryAgain: Boolean = false,
    ) : AttemptOutcome
}

/** How a call ended. */
public sealed interface CallResult {
    /** A whole answer. */
    public data class Whole(
        /** The answer. */
        public val answer: CompleteResponse,
    ) : CallResult

    /** A stream that was passed on to its end. */
    public data object Streamed : CallResult

    /** An error. */
    public data class Failed(
        /** The error. */
        public val error: ErrorAnswer,
    ) : CallResult
}
