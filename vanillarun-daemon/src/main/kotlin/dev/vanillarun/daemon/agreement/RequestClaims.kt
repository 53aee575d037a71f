package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.claim.ClaimDecision
import dev.vanillarun.core.claim.ClaimKey
import dev.vanillarun.core.claim.ClaimProgress
import dev.vanillarun.core.claim.RequestFingerprint
import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.RequestClaim
import dev.vanillarun.core.log.RequestOutcome
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Permission to run the request that won a claim; it may be used once. */
public data class ClaimTicket(
    /** Idempotency key of the request. */
    public val key: ClaimKey,
    /** Id of the log record that holds the claim. */
    public val id: RecordId,
    /** The request must not start at or after this time: it could outlive the log's retention of the claim. */
    public val startBefore: Instant,
)

/** Outcome of claiming an idempotency key. */
public sealed interface ClaimOutcome {
    /** The claim won: the request may run, and its outcome must be reported with [RequestClaims.finish]. */
    public data class Won(
        /** Permission to run the request; passed to [RequestClaims.finish]. */
        public val ticket: ClaimTicket,
    ) : ClaimOutcome

    /** An earlier claim holds the key for the same request; this one must not run. */
    public data class Lost(
        /** State of the request that holds the claim. */
        public val progress: ClaimProgress,
    ) : ClaimOutcome

    /** The key is claimed for a request with a different fingerprint. */
    public data object Conflict : ClaimOutcome

    /** The claim was not decided in time; the request has not run and will not run under this claim. */
    public data class Unavailable(
        /** Cause in plain text, such as a refusal by the log. */
        public val reason: String,
        /** Delay before the caller should retry. */
        public val retryAfter: Duration,
    ) : ClaimOutcome
}

/**
 * Claims idempotency keys in the log before any byte of a request is sent.
 *
 * A claim counts as won only after it has been read back from the log. A claim that is not decided in time is released
 * by a second record, so that the caller's next attempt finds the key free. The release also takes effect if it is
 * appended before the claim.
 */
public class RequestClaims(
    log: PlatformLog,
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock = SystemClock,
    private val timeout: Duration = 2.seconds,
    private val maxStartDelay: Duration = 30.seconds,
) {
    private val streams = ClaimStreams(log)

    /** Claims [key] for the request with [fingerprint]; suspends for at most [timeout]. */
    public suspend fun claim(key: ClaimKey, fingerprint: RequestFingerprint): ClaimOutcome {
        val envelope = writer.envelope(RequestClaim(key.hash, fingerprint.hash))
        val sentAt = clock.now()
        var decided = false
        try {
            val outcome = withTimeoutOrNull(timeout) { attempt(key, fingerprint, envelope, sentAt) }
            decided = outcome != null
            return outcome ?: ClaimOutcome.Unavailable("the log did not answer within $timeout", timeout)
        } finally {
            if (!decided) release(key, envelope)
        }
    }

    /** Records the outcome of the request of [ticket] in the background, with retries. */
    public fun finish(ticket: ClaimTicket, status: Int, execution: Execution) {
        appendOutcome(ticket.key, RequestOutcome(ticket.key.hash, status, execution, ticket.id))
    }

    /** Returns whether the request of [ticket] may still start; see [ClaimTicket.startBefore]. */
    public fun mayStart(ticket: ClaimTicket): Boolean = clock.now() < ticket.startBefore

    private suspend fun attempt(
        key: ClaimKey,
        fingerprint: RequestFingerprint,
        envelope: Envelope,
        sentAt: Instant,
    ): ClaimOutcome {
        var attempts = 0
        while (true) {
            val result = appender.append(key.stream, envelope)
            if (result is AppendResult.Refused && attempts == 0) {
                return ClaimOutcome.Unavailable(result.reason, result.retryAfter)
            }
            attempts++
            val decision = readBack(key, fingerprint, envelope, (result as? AppendResult.Appended)?.first)
            when (decision) {
                is ClaimDecision.Won -> return ClaimOutcome.Won(ClaimTicket(key, envelope.id, sentAt + maxStartDelay))
                is ClaimDecision.Lost -> return ClaimOutcome.Lost(decision.progress)
                is ClaimDecision.Conflict -> return ClaimOutcome.Conflict
                is ClaimDecision.Released -> return ClaimOutcome.Unavailable("the key was released", READ_INTERVAL)
                is ClaimDecision.Absent -> delay(READ_INTERVAL)
            }
        }
    }

    private suspend fun readBack(
        key: ClaimKey,
        fingerprint: RequestFingerprint,
        envelope: Envelope,
        minOffset: Offset?,
    ): ClaimDecision {
        while (true) {
            streams.read(key.stream, minOffset)?.let { return it.decision(key, fingerprint, envelope.id) }
            delay(READ_INTERVAL)
        }
    }

    private fun release(key: ClaimKey, envelope: Envelope) {
        appendOutcome(key, RequestOutcome(key.hash, status = 0, Execution.NOT_RUN, envelope.id))
    }

    private fun appendOutcome(key: ClaimKey, outcome: RequestOutcome) {
        val envelope = writer.envelope(outcome)
        scope.launch {
            val backoff = Backoff(initial = READ_INTERVAL)
            repeat(MAX_RECORD_ATTEMPTS) { attempt ->
                if (appender.append(key.stream, envelope) is AppendResult.Appended) return@launch
                delay(backoff.delayAfter(attempt))
            }
        }
    }

    private companion object {
        val READ_INTERVAL = 50.milliseconds
        const val MAX_RECORD_ATTEMPTS = 20
    }
}
