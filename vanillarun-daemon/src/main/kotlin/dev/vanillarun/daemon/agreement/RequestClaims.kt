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

/** Right to run the request that won a claim, at most once. */
public data class ClaimTicket(
    /** Claimed key. */
    public val key: ClaimKey,
    /** Record of the claim. */
    public val id: RecordId,
    /** Past this reading the request must not be started any more: its claim may outlive the log's retention. */
    public val startBefore: Instant,
)

/** Outcome of claiming an idempotency key. */
public sealed interface ClaimOutcome {
    /** The request may run; report its end with [RequestClaims.finish]. */
    public data class Won(
        /** Right to run it. */
        public val ticket: ClaimTicket,
    ) : ClaimOutcome

    /** The same request was claimed before. */
    public data class Lost(
        /** What became of it. */
        public val progress: ClaimProgress,
    ) : ClaimOutcome

    /** The key was claimed by another request. */
    public data object Conflict : ClaimOutcome

    /** The claim could not be settled; the request has not run and will not run by this claim. */
    public data class Unavailable(
        /** What was seen. */
        public val reason: String,
        /** When to try again. */
        public val retryAfter: Duration,
    ) : ClaimOutcome
}

/**
 * Claims idempotency keys in the log before a byte of a request leaves.
 *
 * A claim is believed only after it was read back. One that cannot be settled in time is given up by a further record,
 * so that the caller's next try finds the key free; that record works also if it lands before the claim.
 */
public class RequestClaims(
    log: PlatformLog,
    private val appender: LogAppender,
    private val writer: RecordWriter,
    private val scope: CoroutineScope,
    private val clock: MonotonicClock = SystemClock,
    private val patience: Duration = 2.seconds,
    private val startWithin: Duration = 30.seconds,
) {
    private val streams = ClaimStreams(log)

    /** Claims [key] for the request [fingerprint]. */
    public suspend fun claim(key: ClaimKey, fingerprint: RequestFingerprint): ClaimOutcome {
        val envelope = writer.envelope(RequestClaim(key.hash, fingerprint.hash))
        val sentAt = clock.now()
        var settled = false
        try {
            val outcome = withTimeoutOrNull(patience) { attempt(key, fingerprint, envelope, sentAt) }
            settled = outcome != null
            return outcome ?: ClaimOutcome.Unavailable("the log did not answer within $patience", patience)
        } finally {
            if (!settled) giveUp(key, envelope)
        }
    }

    /** Records how the request of [ticket] ended; in the background, with retries. */
    public fun finish(ticket: ClaimTicket, status: Int, execution: Execution) {
        record(ticket.key, RequestOutcome(ticket.key.hash, status, execution, ticket.id))
    }

    /** True if the request of [ticket] may still be started. */
    public fun mayStart(ticket: ClaimTicket): Boolean = clock.now() < ticket.startBefore

    private suspend fun attempt(
        key: ClaimKey,
        fingerprint: RequestFingerprint,
        envelope: Envelope,
        sentAt: Instant,
    ): ClaimOutcome {
        var tries = 0
        while (true) {
            val result = appender.append(key.stream, envelope)
            if (result is AppendResult.Refused && tries == 0) {
                return ClaimOutcome.Unavailable(result.reason, result.retryAfter)
            }
            tries++
            val decision = readBack(key, fingerprint, envelope, (result as? AppendResult.Appended)?.first)
            when (decision) {
                is ClaimDecision.Won -> return ClaimOutcome.Won(ClaimTicket(key, envelope.id, sentAt + startWithin))
                is ClaimDecision.Lost -> return ClaimOutcome.Lost(decision.progress)
                is ClaimDecision.Conflict -> return ClaimOutcome.Conflict
                is ClaimDecision.Released -> return ClaimOutcome.Unavailable("the key was freed", READ_PAUSE)
                is ClaimDecision.Absent -> delay(READ_PAUSE)
            }
        }
    }

    private suspend fun readBack(
        key: ClaimKey,
        fingerprint: RequestFingerprint,
        envelope: Envelope,
        past: Offset?,
    ): ClaimDecision {
        while (true) {
            streams.read(key.stream, past)?.let { return it.decision(key, fingerprint, envelope.id) }
            delay(READ_PAUSE)
        }
    }

    private fun giveUp(key: ClaimKey, envelope: Envelope) {
        record(key, RequestOutcome(key.hash, status = 0, Execution.NOT_RUN, envelope.id))
    }

    private fun record(key: ClaimKey, outcome: RequestOutcome) {
        val envelope = writer.envelope(outcome)
        scope.launch {
            val backoff = Backoff(initial = READ_PAUSE)
            repeat(RECORD_TRIES) { attempt ->
                if (appender.append(key.stream, envelope) is AppendResult.Appended) return@launch
                delay(backoff.delayAfter(attempt))
            }
        }
    }

    private companion object {
        val READ_PAUSE = 50.milliseconds
        const val RECORD_TRIES = 20
    }
}
