package dev.vanillarun.daemon.forward

import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.quarantine.QuarantineLevel
import dev.vanillarun.core.retry.FailedAttempt
import dev.vanillarun.core.retry.GiveUpReason
import dev.vanillarun.core.retry.RetryDecision
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.caller.CallerRequest
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.ErrorType
import dev.vanillarun.daemon.dispatch.CrashMonitor
import dev.vanillarun.daemon.dispatch.Placement
import dev.vanillarun.daemon.dispatch.RunningAttempt
import dev.vanillarun.daemon.dispatch.TargetPool
import dev.vanillarun.daemon.event.recordCallEvent
import dev.vanillarun.daemon.metrics.DaemonMetrics
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

/** Attempts a call at one target after another, until an attempt succeeds or the retry policy gives up. */
internal class AttemptLoop(
    private val pool: TargetPool,
    private val placement: Placement,
    private val runner: AttemptRunner,
    private val retries: RetryGate,
    private val crashes: CrashMonitor,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    private val metrics: DaemonMetrics,
) {
    /** Runs [request]; [onPlaced] is called once, when the first attempt has its target. */
    suspend fun run(request: CallerRequest, progress: CallProgress, priority: Int, onPlaced: () -> Unit): CallResult {
        val fingerprint = Fingerprint.of(request.method, request.path, request.body)
        while (true) {
            val running = placement.place(request.route.name, request.work, fingerprint, progress.triedTargets)
                ?: return noTarget(progress)
            progress.triedTargets += running.state.id
            progress.attempts++
            if (progress.attempts == 1) {
                retries.firstAttempt()
                onPlaced()
            }
            val outcome = attempt(request, progress, running, priority)
            if (outcome !is AttemptOutcome.Failed) return succeeded(outcome, fingerprint, progress)
            progress.lastFailureEvent = recordFailure(request, progress, running, outcome)
            if (outcome.retrySameTarget) progress.triedTargets -= running.state.id
            if (outcome.disconnected) crashes.investigate(running)
            if (crashes.quarantineLevel(fingerprint) == QuarantineLevel.REFUSED) return quarantined(fingerprint)
            when (val decision = decide(request, progress, outcome)) {
                is RetryDecision.Retry -> delay(decision.delay)
                is RetryDecision.GiveUp -> return givenUp(decision.reason, outcome, progress)
            }
        }
    }

    private suspend fun attempt(
        request: CallerRequest,
        progress: CallProgress,
        running: RunningAttempt,
        priority: Int,
    ): AttemptOutcome {
        var outcome: AttemptOutcome? = null
        try {
            return runner.attempt(request, progress, running, priority).also { outcome = it }
        } finally {
            settle(request, progress, running, outcome)
        }
    }

    private fun settle(
        request: CallerRequest,
        progress: CallProgress,
        running: RunningAttempt,
        outcome: AttemptOutcome?,
    ) {
        val now = clock.now()
        val resultName = when (outcome) {
            is AttemptOutcome.Complete -> "whole"
            is AttemptOutcome.Streamed -> "streamed"
            is AttemptOutcome.Failed -> "failed"
            null -> "cancelled"
        }
        metrics.recordAttempt(request.route.name.value, resultName)
        when (outcome) {
            is AttemptOutcome.Complete -> {
                progress.figures = outcome.figures
                progress.actualWork = outcome.figures?.completionTokens ?: running.work
                running.succeeded(progress.actualWork.coerceAtLeast(1), now)
            }

            is AttemptOutcome.Streamed -> {
                progress.figures = outcome.figures
                progress.actualWork = outcome.figures.completionTokens
                running.succeeded(progress.actualWork.coerceAtLeast(1), now)
            }

            is AttemptOutcome.Failed -> running.failed(outcome.signal, now)

            null -> running.failed(null, now)
        }
    }

    private fun succeeded(outcome: AttemptOutcome, fingerprint: Fingerprint, progress: CallProgress): CallResult {
        crashes.completed(fingerprint)
        progress.execution = Execution.RAN
        return if (outcome is AttemptOutcome.Complete) CallResult.Complete(outcome.answer) else CallResult.Streamed
    }

    private fun recordFailure(
        request: CallerRequest,
        progress: CallProgress,
        running: RunningAttempt,
        outcome: AttemptOutcome.Failed,
    ) = events.recordCallEvent(
        "attempt.failed",
        request.id,
        progress.lastFailureEvent,
        "target" to running.state.id.value,
        "attempt" to progress.attempts,
        "execution" to outcome.execution.wire,
        "reason" to outcome.error.message,
    )

    private fun decide(request: CallerRequest, progress: CallProgress, outcome: AttemptOutcome.Failed): RetryDecision {
        val resumable = progress.relayed.resumable && request.json?.containsKey("resume") != true
        val targetsLeft = pool.of(request.route.name).count { it.id !in progress.triedTargets && !it.leaving }
        val failed = FailedAttempt(
            execution = outcome.execution,
            idempotent = request.repeatable && (!progress.responseStarted || resumable),
            attempts = progress.attempts,
            targetsLeft = targetsLeft,
            timeLeft = request.deadline - clock.now(),
        )
        val decision = retries.decide(failed)
        if (decision is RetryDecision.GiveUp) {
            events.recordCallEvent(
                "retry.given_up",
                request.id,
                progress.lastFailureEvent,
                "reason" to decision.reason.name.lowercase(),
            )
        }
        return decision
    }

    private fun noTarget(progress: CallProgress): CallResult.Failed {
        val execution = progress.execution
        return CallResult.Failed(
            ErrorResponse(ErrorType.TARGET_UNAVAILABLE, "no target is left for the request", execution, 1.seconds),
        )
    }

    /** The caller may retry later; delaying the call here would only lengthen the queue. */
    private fun overBudget(progress: CallProgress) = CallResult.Failed(
        ErrorResponse(
            ErrorType.TARGET_UNAVAILABLE,
            "too many attempts fail at present",
            progress.execution,
            retries.retryAfter(),
        ),
    )

    private fun quarantined(fingerprint: Fingerprint) = CallResult.Failed(
        ErrorResponse(
            ErrorType.QUARANTINED,
            "the request crashes the targets that run it",
            Execution.UNKNOWN,
            crashes.refusedFor(fingerprint),
        ),
    )

    private fun givenUp(reason: GiveUpReason, outcome: AttemptOutcome.Failed, progress: CallProgress): CallResult {
        if (reason == GiveUpReason.BUDGET) return overBudget(progress)
        val answer = outcome.answer
        if (answer != null && !progress.responseStarted) return CallResult.Complete(answer)
        return CallResult.Failed(outcome.error.copy(execution = progress.execution))
    }
}
