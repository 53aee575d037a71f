package dev.vanillarun.daemon.forward

import dev.vanillarun.core.claim.ClaimKey
import dev.vanillarun.core.claim.ClaimProgress
import dev.vanillarun.core.claim.RequestFingerprint
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.daemon.agreement.ClaimOutcome
import dev.vanillarun.daemon.agreement.ClaimTicket
import dev.vanillarun.daemon.agreement.RequestClaims
import dev.vanillarun.daemon.caller.CallerRequest
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.ErrorType
import kotlin.time.Duration.Companion.seconds

/** Runs a request that has an `Idempotency-Key` only after its key was claimed in the platform's log. */
internal class ClaimGate(private val claims: RequestClaims) {
    /** Calls [run], unless the key of [request] is already claimed or the log is unavailable. */
    suspend fun runOnce(
        request: CallerRequest,
        customer: CustomerId,
        progress: CallProgress,
        run: suspend () -> CallResult,
    ): CallResult {
        val text = request.idempotencyKey ?: return run()
        val key = ClaimKey.of(customer, request.route.name, text)
        val fingerprint = RequestFingerprint.of(request.method, request.path, request.body)
        return when (val outcome = claims.claim(key, fingerprint)) {
            is ClaimOutcome.Won -> runNew(outcome.ticket, progress, run)

            is ClaimOutcome.Lost -> duplicate(outcome.progress)

            ClaimOutcome.Conflict ->
                failed(ErrorResponse(ErrorType.CONFLICT, "the idempotency key belongs to another request"))

            is ClaimOutcome.Unavailable -> {
                val message = "the idempotency key could not be claimed: ${outcome.reason}"
                failed(ErrorResponse(ErrorType.LOG_UNAVAILABLE, message, Execution.NOT_RUN, outcome.retryAfter))
            }
        }
    }

    private suspend fun runNew(ticket: ClaimTicket, progress: CallProgress, run: suspend () -> CallResult): CallResult {
        var result: CallResult? = null
        try {
            val expired = ErrorResponse(ErrorType.LOG_UNAVAILABLE, "the claim took too long", retryAfter = 1.seconds)
            return (if (claims.mayStart(ticket)) run() else failed(expired)).also { result = it }
        } finally {
            claims.finish(ticket, result.status(), progress.execution)
        }
    }

    private fun CallResult?.status(): Int = when (this) {
        is CallResult.Complete -> answer.status
        is CallResult.Failed -> error.type.status.value
        CallResult.Streamed -> STREAMED_STATUS
        null -> 0
    }

    private fun duplicate(first: ClaimProgress): CallResult = when (first) {
        is ClaimProgress.Running -> failed(
            ErrorResponse(
                ErrorType.CONFLICT,
                "the first request with this idempotency key has not ended, at ${first.instance}",
                Execution.UNKNOWN,
                1.seconds,
            ),
        )

        is ClaimProgress.Finished -> failed(
            ErrorResponse(
                ErrorType.CONFLICT,
                "the first request with this idempotency key ended with status ${first.status}",
                first.execution,
            ),
        )
    }

    private fun failed(error: ErrorResponse) = CallResult.Failed(error)

    private companion object {
        const val STREAMED_STATUS = 200
    }
}
