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

/** Result of submitting a step. */
public sealed interface SubmissionResult {
    /** The step runs, here or at the instance that accepted it first. */
    public data class Accepted(
        /** Number of samples that the step asks for. */
        public val samples: Int,
        /** False if the log was unavailable: the step has to be submitted again if this instance fails. */
        public val recorded: Boolean,
    ) : SubmissionResult

    /** The step failed validation. */
    public data class Invalid(
        /** Every invalid field with its reason, not only the first. */
        public val problems: List<StepProblem>,
    ) : SubmissionResult

    /** The customer may not use the model, or no route serves it. */
    public data class NoRoute(
        /** Names the model and the customer. */
        public val reason: String,
    ) : SubmissionResult

    /** A step of the same trainer and number was submitted before with different content. */
    public data object Conflict : SubmissionResult
}

/** Result of a pull. */
public sealed interface PullResult {
    /** Samples of a step that runs at this instance. */
    public data class Delivered(
        /** New samples, the next cursor and the number of samples left. */
        public val delivery: Delivery,
    ) : PullResult

    /** Response of the instance that runs the step. */
    public data class Forwarded(
        /** HTTP status code of that response. */
        public val status: Int,
        /** JSON body, returned unchanged. */
        public val body: String,
    ) : PullResult

    /** The cursor was not issued for this step. */
    public data class InvalidCursor(
        /** What is wrong with the cursor. */
        public val reason: String,
    ) : PullResult

    /** No such step is recorded. Submitting it again and pulling with the same cursor loses no sample. */
    public data object Unknown : PullResult

    /** Temporarily impossible: the log, the runner of the step, or the step here is unavailable. */
    public data class Unavailable(
        /** Cause as text, returned to the trainer. */
        public val reason: String,
    ) : PullResult
}

/** Serves trainers' rollout steps at any instance: runs, forwards or takes over the step that is asked for. */
public class RolloutService(
    private val config: StateFlow<ActiveConfig?>,
    private val journal: StepJournal,
    private val registry: StepRegistry,
    private val peers: PeerPuller,
    private val generator: SampleGenerator,
    private val self: () -> RunnerAddress,
    private val clock: MonotonicClock,
    private val settings: StepActorSettings = StepActorSettings(),
    events: EventRecorder = NoOpEventRecorder,
) {
    private val events = SampleEvents(events)

    /** Accepts a step. Idempotent: submitting the same step again has no further effect. */
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

            is StepLookup.Read -> startIfRunner(key, spec, lookup.log, access)
        }
    }

    private fun startIfRunner(key: StepKey, spec: StepSpec, log: StepLogState, access: Access): SubmissionResult {
        if (log.runner?.incarnation == self().incarnation && log.spec == spec) {
            events.started(key, log)
            startHere(key, spec, HeldSamples.none(spec), access)
        }
        return accepted(log.spec ?: spec, spec, recorded = log.spec != null)
    }

    private fun accepted(existing: StepSpec, submitted: StepSpec, recorded: Boolean): SubmissionResult =
        if (existing == submitted) SubmissionResult.Accepted(submitted.size, recorded) else SubmissionResult.Conflict

    /** Serves a pull from the local step, by forwarding it to the instance that runs the step, or by taking over. */
    public suspend fun pull(pull: ForwardedPull, mayForward: Boolean = true): PullResult {
        registry[pull.key]?.let { return it.deliver(pull) }
        return when (val lookup = journal.find(pull.key)) {
            is StepLookup.Unavailable -> PullResult.Unavailable(lookup.reason)
            is StepLookup.Read -> pullRecorded(pull, lookup.log, mayForward)
        }
    }

    private suspend fun pullRecorded(pull: ForwardedPull, log: StepLogState, mayForward: Boolean): PullResult {
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
    ): PullResult = when (val result = peers.pull(runner, pull)) {
        is PeerPullResult.Answered -> PullResult.Forwarded(result.status, result.body)
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
            is HeldSamples.Parse.Parsed -> startHere(pull.key, spec, parsed.held, access).deliver(pull)
        }
    }

    private suspend fun StepActor.deliver(pull: ForwardedPull): PullResult =
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

    /** Stops a step that runs at this instance; false if none does. */
    public suspend fun end(key: StepKey): Boolean {
        val wasRunning = registry[key] != null
        registry.stop(key)
        return wasRunning
    }

    /** Stops local steps that another instance took over, and those whose customer lost access to the model. */
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
        val customerConfig = active.config.customers.find { it.id == customer } ?: return null
        val permitted = route.customers.isEmpty() || customer in route.customers
        return Access(customerConfig, route).takeIf { permitted && customerConfig.keys.any { !it.withdrawn } }
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
            StepActor(StepState.of(spec, held), deadline, events.recording(generator, key), request, clock, settings)
        }
}
