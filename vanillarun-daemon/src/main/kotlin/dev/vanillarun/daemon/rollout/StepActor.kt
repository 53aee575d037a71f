package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.sample.AttemptFailure
import dev.vanillarun.core.sample.AttemptId
import dev.vanillarun.core.sample.Delivery
import dev.vanillarun.core.sample.DispatchWindow
import dev.vanillarun.core.sample.HedgePolicy
import dev.vanillarun.core.sample.HeldSamples
import dev.vanillarun.core.sample.StepCounters
import dev.vanillarun.core.sample.StepSpec
import dev.vanillarun.core.sample.StepState
import dev.vanillarun.core.sample.StepTransition
import dev.vanillarun.core.sample.attemptCompleted
import dev.vanillarun.core.sample.attemptFailed
import dev.vanillarun.core.sample.expire
import dev.vanillarun.core.sample.hedge
import dev.vanillarun.core.sample.pull
import dev.vanillarun.core.sample.start
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Concurrency and timing of a [StepActor]. */
public data class StepActorSettings(
    /** Maximum number of concurrent attempts at the start of the step. */
    public val initialWindow: Int = 256,
    /** When a slow attempt gets a second one beside it. */
    public val hedging: HedgePolicy = HedgePolicy(),
    /** Interval at which slow attempts, backoffs and waiting pulls are checked. */
    public val tick: Duration = 100.milliseconds,
    /** Backoff after a rejection that gives no delay. */
    public val defaultBackoff: Duration = 1.seconds,
    /** Time after the deadline for which a step still serves pulls. */
    public val retentionAfterDeadline: Duration = 10.minutes,
)

/** Parameters of a pull at a local step. */
public data class PullRequest(
    /** Samples that the trainer already has, decoded from its cursor. */
    public val held: HeldSamples,
    /** Weight version of the trainer, by which samples are judged too old. */
    public val version: WeightVersion,
    /** Maximum number of samples in the response. */
    public val limit: Int,
    /** Maximum time to wait for a first sample. */
    public val wait: Duration,
)

/**
 * Runs one step: a single coroutine owns the [StepState] and applies events to it one at a time.
 *
 * @param createRequest creates the generation request of an attempt from the state in which it starts
 */
public class StepActor(
    initial: StepState,
    private val deadline: Instant,
    private val generator: SampleGenerator,
    private val createRequest: (StepState, AttemptId) -> GenerationRequest,
    private val clock: MonotonicClock,
    private val settings: StepActorSettings = StepActorSettings(),
) {
    private sealed interface Event {
        data class AttemptEnded(val attempt: AttemptId, val outcome: SampleResult) : Event

        data class PullReceived(val pull: PullRequest, val answer: CompletableDeferred<Delivery?>) : Event

        data object Tick : Event
    }

    private class WaitingPull(val pull: PullRequest, val until: Instant, val answer: CompletableDeferred<Delivery?>)

    private val events = Channel<Event>(Channel.UNLIMITED)
    private val counters = MutableStateFlow(StepCounters())
    private val attempts = HashMap<AttemptId, Job>()
    private val pulls = ArrayDeque<WaitingPull>()
    private var state = initial
    private var window = DispatchWindow(size = settings.initialWindow)

    /** Counters of the step, updated after each event. */
    public val progress: StateFlow<StepCounters> = counters.asStateFlow()

    /** Specification of the step, as submitted. */
    public val spec: StepSpec = initial.spec

    /** Runs in [scope] until cancelled or the retention after the deadline ends, then cancels all attempts. */
    public fun launchIn(scope: CoroutineScope): Job = scope.launch {
        val ticker = launch { tickForever() }
        val attemptScope = this + SupervisorJob(coroutineContext.job)
        try {
            dispatch(attemptScope)
            while (clock.now() < deadline + settings.retentionAfterDeadline) {
                handle(events.receive())
                dispatch(attemptScope)
                answerPulls()
                counters.value = state.counters
            }
        } finally {
            ticker.cancel()
            attemptScope.cancel()
            refuseOpenPulls()
        }
    }

    /** Serves a pull within its wait time; null if this actor ended in the meantime. */
    public suspend fun pull(pull: PullRequest): Delivery? {
        val answer = CompletableDeferred<Delivery?>()
        val enqueued = events.trySend(Event.PullReceived(pull, answer))
        return if (enqueued.isSuccess) answer.await() else null
    }

    private fun refuseOpenPulls() {
        events.close()
        pulls.forEach { it.answer.complete(null) }
        generateSequence { events.tryReceive().getOrNull() }
            .filterIsInstance<Event.PullReceived>()
            .forEach { it.answer.complete(null) }
    }

    private suspend fun CoroutineScope.tickForever() {
        while (isActive) {
            delay(settings.tick)
            events.trySend(Event.Tick)
        }
    }

    private suspend fun handle(event: Event) {
        when (event) {
            is Event.AttemptEnded -> attemptEnded(event.attempt, event.outcome)
            is Event.PullReceived -> pulls += WaitingPull(event.pull, clock.now() + event.pull.wait, event.answer)
            Event.Tick -> if (clock.now() > deadline && !state.done) update(state.expire())
        }
    }

    private suspend fun attemptEnded(attempt: AttemptId, outcome: SampleResult) {
        attempts.remove(attempt) ?: return
        when (outcome) {
            is SampleResult.Completed -> {
                window = window.attemptCompleted()
                update(state.attemptCompleted(attempt, outcome.sample, clock.now()))
            }

            is SampleResult.Failed -> {
                val now = clock.now()
                if (outcome.failure is AttemptFailure.NoCapacity) {
                    window = window.attemptRejected(now, outcome.retryAfter ?: settings.defaultBackoff)
                }
                update(state.attemptFailed(attempt, outcome.failure, retryAt = outcome.retryAfter?.let { now + it }))
            }
        }
    }

    private suspend fun update(transition: StepTransition) {
        state = transition.state
        transition.cancel.mapNotNull(attempts::remove).forEach { it.cancelAndJoin() }
    }

    private fun dispatch(scope: CoroutineScope) {
        val now = clock.now()
        if (now > deadline) return
        val first = state.start(window.availableAttempts(state.running.size, now), now)
        val second = first.state.hedge(settings.hedging, window.availableAttempts(first.state.running.size, now), now)
        state = second.state
        (first.start + second.start).forEach { attempt -> attempts[attempt] = scope.launchAttempt(attempt) }
    }

    private fun CoroutineScope.launchAttempt(attempt: AttemptId): Job {
        val generationRequest = createRequest(state, attempt)
        return launch { events.trySend(Event.AttemptEnded(attempt, generator.generate(generationRequest))) }
    }

    private fun answerPulls() {
        val now = clock.now()
        val open = pulls.toList()
        pulls.clear()
        open.forEach { waiting ->
            val result = state.pull(waiting.pull.held, waiting.pull.version, waiting.pull.limit)
            state = result.state
            val delivery = result.delivery
            if (delivery.samples.isNotEmpty() || delivery.remaining == 0 || now >= waiting.until) {
                waiting.answer.complete(delivery)
            } else {
                pulls += waiting
            }
        }
    }
}
