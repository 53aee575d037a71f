package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.sample.AttemptId
import dev.vanillarun.core.sample.Delivery
import dev.vanillarun.core.sample.HeldSamples
import dev.vanillarun.core.sample.RunnerAddress
import dev.vanillarun.core.sample.StepKey
import dev.vanillarun.core.sample.StepLogState
import dev.vanillarun.core.sample.StepProblem
import dev.vanillarun.core.sample.StepSpec
import dev.vanillarun.core.sample.StepState
import dev.vanillarun.core.sample.problems
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.daemon.config.ActiveConfig
import kotlinx.coroutines.flow.StateFlow
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of a submission. */
public sealed interface SubmissionResult {
    /** The step runs, here or at the instance that took it first. */
    public data class Accepted(
        /** Number of samples. */
        public val samples: Int,
        /** False if the log was away: should this instance be lost, the step has to be submitted again. */
        public val recorded: Boolean,
    ) : SubmissionResult

    /** The step is not well-formed. */
    public data class Invalid(
        /** All problems. */
        public val problems: List<StepProblem>,
    ) : SubmissionResult

    /** The customer may not use the model, or no route serves it. */
    public data class NoRoute(
        /** What is missing. */
        public val reason: String,
    ) : SubmissionResult

    /** The trainer submitted the same step with other content. */
    public data object Conflict : SubmissionResult
}

/** Outcome of a pull. */
public sealed interface PullResult {
    /** Samples of a step that runs here. */
    public data class Delivered(
        /** Samples and cursor. */
        public val delivery: Delivery,
    ) : PullResult

    /** The answer of the instance that runs the step. */
    public data class Forwarded(
        /** HTTP status. */
        public val status: Int,
        /** JSON body. */
        public val body: String,
    ) : PullResult

    /** The cursor is not one of this step. */
    public data class InvalidCursor(
        /** Why. */
        public val reason: String,
    ) : PullResult

    /** No such step is recorded; submitting it again, with the same cursor afterwards, loses nothing. */
    public data object Unknown : PullResult

    /** Neither this instance nor the log can tell now. */
    public data class Unavailable(
        /** What was seen. */
        public val reason: String,
    ) : PullResult
}

/** Steps of rollouts for trainers, whichever instance is asked. */
public class RolloutService(
    private val config: StateFlow<ActiveConfig?>,
    private val journal: StepJournal,
    private val registry: StepRegistry,
    private val peers: PeerPuller,
    private val generator: SampleGenerator,
    private val self: () -> RunnerAddress,
    private val clock: MonotonicClock,
    private val pacing: StepActorSettings = StepActorSettings(),
    events: EventRecorder = NoOpEventRecorder,
) {
    private val events = SampleEvents(events)

    /** Takes a step. Submitting the same step again has no further effect. */
    public suspend fun submit(customer: CustomerId, spec: StepSpec): SubmissionResult {
        val problems = spec.problems()
        if (problems.isNotEmpty()) return SubmissionResult.Invalid(problems)
        val access =
            access(customer, spec) ?: return SubmissionResult.NoRoute("no route serves ${spec.model} for $customer")
        val key = StepKey(customer, spec.trainer, spec.step)
        registry[key]?.let { return accepted(it.spec, spec, recorded = true) }
        return when (val lookup = journal.submit(key, spec)) {
            is StepLookup.Unavailable -> {
                startHere(key, spec, HeldSamples.none(spec), access)
                SubmissionResult.Accepted(spec.size, recorded = false)
            }

            is StepLookup.Read -> recorded(key, spec, lookup.log, access)
        }
    }

    private fun recorded(key: StepKey, spec: StepSpec, log: StepLogState, access: Access): SubmissionResult {
        if (log.runner?.incarnation == self().incarnation && log.spec == spec) {
            events.started(key, log)
            startHere(key, spec, HeldSamples.none(spec), access)
        }
        return accepted(log.spec ?: spec, spec, recorded = log.spec != null)
    }

    private fun accepted(known: StepSpec, asked: StepSpec, recorded: Boolean): SubmissionResult =
        if (known == asked) SubmissionResult.Accepted(asked.size, recorded) else SubmissionResult.Conflict

    /** Answers a pull: from here, through the instance that runs the step, or by taking the step over. */
    public suspend fun pull(pull: ForwardedPull, mayForward: Boolean = true): PullResult {
        registry[pull.key]?.let { return it.answer(pull) }
        return when (val lookup = journal.find(pull.key)) {
            is StepLookup.Unavailable -> PullResult.Unavailable(lookup.reason)
            is StepLookup.Read -> answerRecorded(pull, lookup.log, mayForward)
        }
    }

    private suspend fun answerRecorded(pull: ForwardedPull, log: StepLogState, mayForward: Boolean): PullResult {
        val spec = log.spec ?: return PullResult.Unknown
        val runner = log.runner ?: return PullResult.Unknown
        return when {
            runner.incarnation == self().incarnation -> continueHere(pull, spec)
            mayForward -> forward(pull, spec, runner, log)
            else -> PullResult.Unavailable("the step runs at ${runner.instance}")
        }
    }

    private suspend fun forward(
        pull: ForwardedPull,
        spec: StepSpec,
        runner: RunnerAddress,
        before: StepLogState,
    ): PullResult = when (val answer = peers.pull(runner, pull)) {
        is PeerPullResult.Answered -> PullResult.Forwarded(answer.status, answer.body)
        is PeerPullResult.Unreachable -> takeOver(pull, spec, before)
    }

    private suspend fun takeOver(pull: ForwardedPull, spec: StepSpec, before: StepLogState): PullResult =
        when (val lookup = journal.takeOver(pull.key)) {
            is StepLookup.Unavailable -> PullResult.Unavailable(lookup.reason)

            is StepLookup.Read ->
                if (lookup.log.runner?.incarnation == self().incarnation) {
                    events.takenOver(pull.key, before, lookup.log)
                    continueHere(pull, spec)
                } else {
                    PullResult.Unavailable("another instance took the step over")
                }
        }

    private suspend fun continueHere(pull: ForwardedPull, spec: StepSpec): PullResult {
        val access = access(pull.customer, spec) ?: return PullResult.Unknown
        return when (val parsed = HeldSamples.parse(pull.cursor, spec)) {
            is HeldSamples.Parse.Invalid -> PullResult.InvalidCursor(parsed.reason)
            is HeldSamples.Parse.Parsed -> startHere(pull.key, spec, parsed.held, access).answer(pull)
        }
    }

    private suspend fun StepActor.answer(pull: ForwardedPull): PullResult =
        when (val parsed = HeldSamples.parse(pull.cursor, spec)) {
            is HeldSamples.Parse.Invalid -> PullResult.InvalidCursor(parsed.reason)

            is HeldSamples.Parse.Parsed -> {
                val version = WeightVersion(pull.version ?: spec.version)
                val delivery = pull(PullRequest(parsed.held, version, pull.limit, pull.wait))
                delivery?.let { events.delivered(pull.key, it) }
                if (parsed.held.complete) registry.stop(pull.key)
                delivery?.let(PullResult::Delivered) ?: PullResult.Unavailable("the step ended here")
            }
        }

    /** Ends a step that runs here; false if it does not. */
    public suspend fun end(key: StepKey): Boolean {
        val known = registry[key] != null
        registry.stop(key)
        return known
    }

    /** Ends the steps that another instance took over, and those whose customer lost its access. */
    public suspend fun stopForeignSteps() {
        registry.keys.forEach { key ->
            val spec = registry[key]?.spec ?: return@forEach
            if (access(key.customer, spec) == null || isForeign(key)) registry.stop(key)
        }
    }

    private suspend fun isForeign(key: StepKey): Boolean {
        val lookup = journal.find(key) as? StepLookup.Read ?: return false
        val runner = lookup.log.runner ?: return false
        return runner.incarnation != self().incarnation
    }

    private class Access(val customer: Customer, val route: Route)

    private fun access(customer: CustomerId, spec: StepSpec): Access? {
        val active = config.value ?: return null
        val route = active.modelRoute(spec.model) ?: return null
        val known = active.config.customers.find { it.id == customer } ?: return null
        val permitted = route.customers.isEmpty() || customer in route.customers
        return Access(known, route).takeIf { permitted && known.keys.any { !it.withdrawn } }
    }

    private fun startHere(key: StepKey, spec: StepSpec, held: HeldSamples, access: Access): StepActor =
        registry.getOrStart(key) {
            val deadline = clock.now() + spec.deadlineMs.milliseconds
            val groups = spec.groups.associateBy { it.id }
            val ids = spec.sampleIds()
            val request = { state: StepState, attempt: AttemptId ->
                val id = ids[attempt.ordinal]
                GenerationRequest(
                    requestId = "$key/${id.group}/${id.index}.${attempt.number}",
                    customer = access.customer,
                    route = access.route,
                    sample = id,
                    attempt = attempt.number,
                    group = groups.getValue(id.group),
                    avoided = state.avoided[attempt.ordinal].orEmpty(),
                    oldestAllowed = state.oldestAllowed,
                    deadline = deadline,
                )
            }
            StepActor(StepState.of(spec, held), deadline, events.around(generator, key), request, clock, pacing)
        }
}
