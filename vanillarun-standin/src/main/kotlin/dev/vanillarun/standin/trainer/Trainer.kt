package dev.vanillarun.standin.trainer

import dev.vanillarun.standin.client.EntryAnswer
import dev.vanillarun.standin.client.EntryCall
import dev.vanillarun.standin.client.EntryPool
import dev.vanillarun.standin.http.wireJson
import io.ktor.http.HttpMethod
import io.ktor.http.encodeURLParameter
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Settings of a trainer stand-in. */
public data class TrainerSettings(
    /** Caller addresses of the entry instances. */
    public val daemons: List<String>,
    /** Key. */
    public val key: String = "",
    /** Address of the platform, to which new versions are published; empty means that none are. */
    public val platform: String = "",
    /** Name. */
    public val name: String = "assistant",
    /** Model. */
    public val model: String = "assistant",
    /** Steps. */
    public val steps: Int = 4,
    /** Groups a step. */
    public val groups: Int = 8,
    /** Samples a group. */
    public val samples: Int = 8,
    /** Tokens a sample. */
    public val maxTokens: Int = 64,
    /** Bound on the age of samples, in versions. */
    public val maxVersionLag: Long = 1,
    /** Version at the start. */
    public val version: Long = 1,
    /** Time of training on a step. */
    public val train: Duration = 200.milliseconds,
    /** Time in which a step must be whole, else its missing samples count as lost. */
    public val patience: Duration = 60.seconds,
    /** Seed of the prompts. */
    public val seed: Long = 0,
)

/** What a trainer saw. */
@Serializable
public data class TrainerSummary(
    /** Name. */
    public val trainer: String,
    /** Samples that were asked for. */
    public val expected: Int,
    /** Distinct samples that came. */
    public val delivered: Int,
    /** Samples that came again. */
    public val duplicated: Int,
    /** Samples that did not come. */
    public val lost: Int,
    /** Samples older than the bound. */
    public val stale: Int,
    /** Samples with a wrong label. */
    public val misattributed: Int,
    /** Samples that were not whole. */
    public val damaged: Int,
    /** Time in which the trainer had nothing to train on. */
    public val idleMs: Long,
    /** Time from submission until whole, for each step. */
    public val stepMs: List<Long>,
    /** Calls that had to be made again. */
    public val retriedCalls: Int,
)

/** A trainer: submits a step, pulls its samples by cursor, trains, publishes the next version. */
public class Trainer(private val settings: TrainerSettings) {
    private val pool = EntryPool(settings.daemons, timeout = CALL_TIMEOUT)
    private var version = settings.version
    private var retried = 0

    /** Runs all steps. */
    public suspend fun run(): TrainerSummary = pool.use {
        val steps = (0L until settings.steps).map { runStep(it) }
        val counts = steps.map { it.ledger.counts }
        TrainerSummary(
            trainer = settings.name,
            expected = settings.steps * settings.groups * settings.samples,
            delivered = counts.sumOf { it.delivered },
            duplicated = counts.sumOf { it.duplicated },
            lost = steps.sumOf { it.ledger.missing },
            stale = counts.sumOf { it.stale },
            misattributed = counts.sumOf { it.misattributed },
            damaged = counts.sumOf { it.damaged },
            idleMs = steps.sumOf { it.took.inWholeMilliseconds },
            stepMs = steps.map { it.took.inWholeMilliseconds },
            retriedCalls = retried,
        )
    }

    private class Step(val ledger: SampleLedger, val took: Duration)

    private suspend fun runStep(step: Long): Step {
        val request = request(step)
        val ledger = SampleLedger(request.groups.associate { it.id to it.samples }, settings.maxVersionLag)
        val began = TimeSource.Monotonic.markNow()
        val end = began + settings.patience
        submit(request, end)
        pull(step, ledger, end)
        val took = began.elapsedNow()
        pool.call(call(HttpMethod.Delete, "/v1/rollouts/${settings.name}/$step"))
        delay(settings.train)
        publish(version + 1)
        return Step(ledger, took)
    }

    private suspend fun submit(request: StepRequest, end: TimeSource.Monotonic.ValueTimeMark) {
        val call = call(HttpMethod.Post, "/v1/rollouts", wireJson.encodeToString(request))
        while (end.hasNotPassedNow()) {
            val answer = pool.call(call)
            if (answer is EntryAnswer.Answered && answer.status == ACCEPTED) return
            again(answer)
        }
    }

    private suspend fun pull(step: Long, ledger: SampleLedger, end: TimeSource.Monotonic.ValueTimeMark) {
        var cursor = ""
        while (end.hasNotPassedNow() && ledger.missing > 0) {
            val query = "cursor=${cursor.encodeURLParameter()}&limit=$PAGE&wait_ms=$WAIT_MILLIS&version=$version"
            val answer = pool.call(call(HttpMethod.Get, "/v1/rollouts/${settings.name}/$step/samples?$query"))
            if (answer is EntryAnswer.Answered && answer.status == OK) {
                val page = wireJson.decodeFromString(SamplesPage.serializer(), answer.body)
                page.samples.forEach { ledger.deliver(it, version) }
                cursor = page.cursor
                if (page.done) return
            } else {
                again(answer)
            }
        }
    }

    private suspend fun publish(next: Long) {
        version = next
        if (settings.platform.isEmpty()) return
        val body = wireJson.encodeToString(PublishedVersion(next))
        pool.call(settings.platform, EntryCall(HttpMethod.Post, "/v1/weights", body))
    }

    private suspend fun again(answer: EntryAnswer) {
        retried++
        if (answer is EntryAnswer.Answered) {
            System.err.println(
                "trainer: ${answer.status} ${answer.body.take(MAX_SHOWN)}",
            )
        }
        delay(PAUSE)
    }

    private fun call(method: HttpMethod, uri: String, body: String? = null): EntryCall =
        EntryCall(method, uri, body, mapOf("Authorization" to "Bearer ${settings.key}"))

    private fun request(step: Long): StepRequest = StepRequest(
        trainer = settings.name,
        step = step,
        model = settings.model,
        version = version,
        maxVersionLag = settings.maxVersionLag,
        deadlineMs = settings.patience.inWholeMilliseconds,
        groups = List(settings.groups) { group ->
            val prompt = "Step $step, group $group of ${settings.name}, seed ${settings.seed}: what may be returned?"
            GroupRequest("g$group", prompt, settings.samples, settings.maxTokens, seed = settings.seed + group)
        },
    )

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val PAGE = 64
        const val WAIT_MILLIS = 1_000
        const val MAX_SHOWN = 300
        val CALL_TIMEOUT = 10.seconds
        val PAUSE = 100.milliseconds
    }
}
