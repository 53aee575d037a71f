package dev.vanillarun.daemon.forward

import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.quarantine.QuarantineLevel
import dev.vanillarun.core.retry.FailedAttempt
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.core.sample.AttemptFailure
import dev.vanillarun.core.sample.Sample
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.caller.CallerRequest
import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.dispatch.CrashMonitor
import dev.vanillarun.daemon.dispatch.Placement
import dev.vanillarun.daemon.dispatch.QueueResult
import dev.vanillarun.daemon.dispatch.QueuedRequest
import dev.vanillarun.daemon.dispatch.RouteQueues
import dev.vanillarun.daemon.dispatch.RunningAttempt
import dev.vanillarun.daemon.dispatch.TargetPool
import dev.vanillarun.daemon.rollout.GenerationRequest
import dev.vanillarun.daemon.rollout.SampleGenerator
import dev.vanillarun.daemon.rollout.SampleResult
import dev.vanillarun.daemon.stream.ChoiceJson
import dev.vanillarun.daemon.stream.TokenFigures
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.Parameters
import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Generates samples at the engines of a route, with the same queues and checks as callers' live requests. */
internal class EngineSampleGenerator(
    private val config: StateFlow<ActiveConfig?>,
    private val queues: RouteQueues,
    private val pool: TargetPool,
    private val placement: Placement,
    private val runner: AttemptRunner,
    private val retries: RetryGate,
    private val crashes: CrashMonitor,
    private val clock: MonotonicClock,
    private val usage: UsageSink,
) : SampleGenerator {
    override suspend fun generate(request: GenerationRequest): SampleResult {
        val call = request.asCall()
        val queue = queues[request.route.name] ?: return noCapacity("the route was removed")
        val classes = config.value?.config?.priorities.orEmpty()
        val rank = classes.indexOfFirst { it.name == ROLLOUT_CLASS }
        val className = classes.getOrNull(rank)?.name ?: request.route.priority
        val profile = call.work.copy(prefix = Fingerprint.of("", "", request.group.prompt.encodeToByteArray()).hex)
        val turn = queue.await(QueuedRequest(request.customer.id, className, profile, request.deadline))
        if (turn is QueueResult.Refused) return SampleResult.Failed(AttemptFailure.NoCapacity("queue"), turn.retryAfter)
        var placed = false
        val progress = CallProgress(stream = null)
        try {
            val running = place(request, call, profile) ?: return noCapacity("no target may take the sample")
            placed = true
            queue.placed()
            return runAttempt(request, call, progress, running, rank.coerceAtLeast(0))
        } finally {
            if (!placed) queue.placed()
            queue.finish((turn as QueueResult.Granted).ticket, progress.actualWork)
        }
    }

    private suspend fun place(
        request: GenerationRequest,
        call: CallerRequest,
        profile: RequestProfile,
    ): RunningAttempt? {
        val stale = pool.of(request.route.name).filter { state ->
            state.version?.let { it < request.oldestAllowed } == true
        }
        val fingerprint = Fingerprint.of(call.method, call.path, call.body)
        val excluded = request.avoided + stale.map { it.id }
        return placement.place(request.route.name, profile, fingerprint, excluded)
            ?: placement.place(request.route.name, profile, fingerprint, stale.mapTo(HashSet()) { it.id })
    }

    private suspend fun runAttempt(
        request: GenerationRequest,
        call: CallerRequest,
        progress: CallProgress,
        running: RunningAttempt,
        rank: Int,
    ): SampleResult {
        progress.attempts = request.attempt
        if (request.attempt == 1) retries.firstAttempt()
        var outcome: AttemptOutcome? = null
        try {
            outcome = runner.attempt(call, progress, running, rank)
        } finally {
            settle(running, outcome, progress)
        }
        return when (outcome) {
            is AttemptOutcome.Complete -> sample(request, running, outcome).also {
                if (it is SampleResult.Completed) usage.answered(request.customer.id, outcome.figures)
            }

            is AttemptOutcome.Failed -> failed(request, running, outcome)

            else -> retryable("the target sent a stream", running)
        }
    }

    private fun settle(running: RunningAttempt, outcome: AttemptOutcome?, progress: CallProgress) {
        when (outcome) {
            is AttemptOutcome.Complete -> {
                progress.actualWork = outcome.figures?.completionTokens ?: running.work
                running.succeeded(progress.actualWork.coerceAtLeast(1), clock.now())
                running.fingerprint?.let(crashes::completed)
            }

            is AttemptOutcome.Failed -> running.failed(outcome.signal, clock.now())

            else -> running.failed(null, clock.now())
        }
    }

    private suspend fun failed(
        request: GenerationRequest,
        running: RunningAttempt,
        outcome: AttemptOutcome.Failed,
    ): SampleResult {
        if (outcome.disconnected) crashes.investigate(running)
        val quarantined = running.fingerprint?.let(crashes::quarantineLevel) == QuarantineLevel.REFUSED
        if (quarantined) return SampleResult.Failed(AttemptFailure.Permanent("the sample crashes its targets"))
        val failed = FailedAttempt(
            execution = outcome.execution,
            idempotent = true,
            attempts = request.attempt,
            targetsLeft = 1,
            timeLeft = request.deadline - clock.now(),
        )
        val mayHaveRun = outcome.execution != Execution.NOT_RUN
        val failure = AttemptFailure.Retryable(outcome.error.message, running.state.id, mayHaveRun)
        return SampleResult.Failed(failure, retries.repeatDelay(failed))
    }

    private fun sample(
        request: GenerationRequest,
        running: RunningAttempt,
        outcome: AttemptOutcome.Complete,
    ): SampleResult {
        val response = parse(outcome.answer)
        val choice = response?.choices?.singleOrNull()
        if (choice?.text == null || response.weightVersions.isEmpty()) {
            return retryable("the response has no text or no weight versions", running)
        }
        return SampleResult.Completed(
            Sample(
                id = request.sample,
                text = choice.text,
                tokens = response.usage.completionTokens.toInt(),
                finishReason = choice.finishReason.orEmpty(),
                weightVersions = response.weightVersions.map(::WeightVersion),
                target = running.state.id,
                attempt = request.attempt,
            ),
        )
    }

    private fun parse(answer: CompleteResponse): SampleJson? = try {
        json.decodeFromString(SampleJson.serializer(), answer.body.decodeToString()).takeIf { answer.status == OK }
    } catch (_: SerializationException) {
        null
    }

    private fun retryable(reason: String, running: RunningAttempt) =
        SampleResult.Failed(AttemptFailure.Retryable(reason, running.state.id))

    private fun noCapacity(reason: String) = SampleResult.Failed(AttemptFailure.NoCapacity(reason))

    private fun GenerationRequest.asCall(): CallerRequest {
        val body = completionBody()
        return CallerRequest(
            id = RequestId(requestId),
            method = "POST",
            path = "/v1/completions",
            query = Parameters.Empty,
            headers = Headers.Empty,
            body = body.toString().encodeToByteArray(),
            json = body,
            route = route,
            owner = null,
            secret = null,
            deadline = deadline,
            contentType = ContentType.Application.Json,
        )
    }

    private fun GenerationRequest.completionBody(): JsonObject = buildJsonObject {
        put("model", route.model)
        put("prompt", group.prompt)
        put("max_tokens", group.maxTokens)
        put("seed", group.seed + sample.index)
    }

    private companion object {
        /** Name of the priority class for rollouts; without it the class of the route applies. */
        const val ROLLOUT_CLASS = "rollout"
        const val OK = 200
        val json = Json { ignoreUnknownKeys = true }
    }
}

@Serializable
internal data class SampleJson(
    val choices: List<ChoiceJson> = emptyList(),
    val usage: TokenFigures = TokenFigures(),
    @SerialName("weight_versions") val weightVersions: List<Long> = emptyList(),
)
