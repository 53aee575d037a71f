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

/** How an actor paces its work. */
public data class StepActorSettings(
    /** Tries under way at the start. */
    public val initialWindow: Int = 256,
    /** Second tries. */
    public val hedging: HedgePolicy = HedgePolicy(),
    /** How often slow tries, pauses and waiting pulls are looked at. */
    public val tick: Duration = 100.milliseconds,
    /** Pause when a refusal names none. */
    public val defaultPause: Duration = 1.seconds,
    /** How long a step whose deadline passed is kept for its trainer. */
    public val keepAfterDeadline: Duration = 10.minutes,
)

/** What a trainer says with a pull. */
public data class PullRequest(
    /** Samples that the trainer holds. */
    public val held: HeldSamples,
    /** The trainer's own weight version. */
    public val version: WeightVersion,
    /** Greatest number of samples in the answer. */
    public val limit: Int,
    /** How long the answer may wait for a first sample. */
    public val wait: Duration,
)

/**
 * Runs one step: a single coroutine owns the [StepState] and applies events to it in turn.
 *
 * @param request makes the generation request of a try, from the state that it starts in
 */
public class StepActor(
    initial: StepState,
    private val deadline: Instant,
    private val generator: SampleGenerator,
    private val request: (StepState, AttemptId) -> GenerationRequest,
    private val clock: MonotonicClock,
    private val pacing: StepActorSettings = StepActorSettings(),
) {
    private sealed interface Event {
        data class Finished(val attempt: AttemptId, val outcome: GenerationResult) : Event

        data class Pulled(val pull: PullRequest, val answer: CompletableDeferred<Delivery?>) : Event

        data object Tick : Event
    }

    private class WaitingPull(val pull: PullRequest, val until: Instant, val answer: CompletableDeferred<Delivery?>)

    private val events = Channel<Event>(Channel.UNLIMITED)
    private val counters = MutableStateFlow(StepCounters())
    private val tries = HashMap<AttemptId, Job>()
    private val pulls = ArrayDeque<WaitingPull>()
    private var state = initial
    private var window = DispatchWindow(size = pacing.initialWindow)

    /** Counters of the step so far. */
    public val progress: StateFlow<StepCounters> = counters.asStateFlow()

    /** Step that is run. */
    public val spec: StepSpec = initial.spec

    /** Runs in [scope] until the returned job is cancelled or the step is forgotten; its tries end with it. */
    public fun launchIn(scope: CoroutineScope): Job = scope.launch {
        val ticker = launch { tickForever() }
        val tryScope = this + SupervisorJob(coroutineContext.job)
        try {
            dispatch(tryScope)
            while (clock.now() < deadline + pacing.keepAfterDeadline) {
                handle(events.receive())
                dispatch(tryScope)
                answerPulls()
                counters.value = state.counters
            }
        } finally {
            ticker.cancel()
            tryScope.cancel()
            refuseOpenPulls()
        }
    }

    /** Answers a pull, within its wait; null if the step ended here meanwhile. */
    public suspend fun pull(pull: PullRequest): Delivery? {
        val answer = CompletableDeferred<Delivery?>()
        val sent = events.trySend(Event.Pulled(pull, answer))
        return if (sent.isSuccess) answer.await() else null
    }

    private fun refuseOpenPulls() {
        events.close()
        pulls.forEach { it.answer.complete(null) }
        generateSequence { events.tryReceive().getOrNull() }
            .filterIsInstance<Event.Pulled>()
            .forEach { it.answer.complete(null) }
    }

    private suspend fun CoroutineScope.tickForever() {
        while (isActive) {
            delay(pacing.tick)
            events.trySend(Event.Tick)
        }
    }

    private suspend fun handle(event: Event) {
        when (event) {
            is Event.Finished -> finished(event.attempt, event.outcome)
            is Event.Pulled -> pulls += WaitingPull(event.pull, clock.now() + event.pull.wait, event.answer)
            Event.Tick -> if (clock.now() > deadline && !state.done) apply(state.expire())
        }
    }

    private suspend fun finished(attempt: AttemptId, outcome: GenerationResult) {
        tries.remove(attempt) ?: return
        when (outcome) {
            is GenerationResult.Completed -> {
                window = window.attemptCompleted()
                apply(state.attemptCompleted(attempt, outcome.sample, clock.now()))
            }

            is GenerationResult.Failed -> {
                val now = clock.now()
                if (outcome.failure is AttemptFailure.NoCapacity) {
                    window = window.attemptRejected(now, outcome.retryAfter ?: pacing.defaultPause)
                }
                apply(state.attemptFailed(attempt, outcome.failure, retryAt = outcome.retryAfter?.let { now + it }))
            }
        }
    }

    private suspend fun apply(transition: StepTransition) {
        state = transition.state
        transition.cancel.mapNotNull(tries::remove).forEach { it.cancelAndJoin() }
    }

    private fun dispatch(scope: CoroutineScope) {
        val now = clock.now()
        if (now > deadline) return
        val first = state.start(window.availableAttempts(state.running.size, now), now)
        val second = first.state.hedge(pacing.hedging, window.availableAttempts(first.state.running.size, now), now)
        state = second.state
        (first.start + second.start).forEach { attempt -> tries[attempt] = scope.launchTry(attempt) }
    }

    private fun CoroutineScope.launchTry(attempt: AttemptId): Job {
        val asked = request(state, attempt)
        return launch { events.trySend(Event.Finished(attempt, generator.generate(asked))) }
    }

    private fun answerPulls() {
        val now = clock.now()
        val open = pulls.toList()
        pulls.clear()
        open.forEach { waiting ->
            val answered = state.pull(waiting.pull.held, waiting.pull.version, waiting.pull.limit)
            state = answered.state
            val delivery = answered.delivery
            if (delivery.samples.isNotEmpty() || delivery.remaining == 0 || now >= waiting.until) {
                waiting.answer.complete(delivery)
            } else {
                pulls += waiting
            }
        }
    }
}
