package dev.vanillarun.standin.caller

import dev.vanillarun.standin.client.EntryAnswer
import dev.vanillarun.standin.client.EntryCall
import dev.vanillarun.standin.client.EntryPool
import io.ktor.http.HttpMethod
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Settings of the live-caller stand-in. */
public data class CallerSettings(
    /** Caller addresses of the entry instances. */
    public val daemons: List<String>,
    /** Customers. */
    public val customers: List<CallingCustomer>,
    /** Model. */
    public val model: String = "assistant",
    /** Path prefix of the plain service. */
    public val servicePath: String = "/loans",
    /** Calls a second, all customers together. */
    public val callsPerSecond: Double = 20.0,
    /** Time during which calls are begun. */
    public val duration: Duration = 20.seconds,
    /** Tokens of a completion. */
    public val maxTokens: Int = 16,
    /** Times that a call is made at most. */
    public val attempts: Int = 6,
    /** Seed of arrivals and prompts. */
    public val seed: Long = 1,
    /** Kinds of calls, drawn evenly. */
    public val kinds: List<CallKind> = CallKind.entries,
)

/** Live callers: make calls at their planned times whatever the answers do, resend what may be, check every answer. */
public class Caller(private val settings: CallerSettings) {
    private val tally = CallerTally()

    /** Makes all calls and waits for their ends. */
    public suspend fun run(): CallerSummary = EntryPool(settings.daemons).use { pool ->
        val start = TimeSource.Monotonic.markNow()
        val plan = with(settings) { planCalls(customers, callsPerSecond, duration, seed, kinds) }
        coroutineScope {
            plan.forEach { call ->
                delay(call.at - start.elapsedNow())
                launch {
                    val end = makeUntilSettled(pool, call)
                    tally.add(call, end, micros = (start.elapsedNow() - call.at).inWholeMicroseconds)
                }
            }
        }
        tally.summary()
    }

    private suspend fun makeUntilSettled(pool: EntryPool, call: PlannedCall): CallEnd {
        val request = entryCall(call)
        var end = CallEnd.NOT_RUN
        repeat(settings.attempts) { attempt ->
            val answer = pool.call(request)
            end = worse(end, judge(call, request, answer))
            if (end == CallEnd.SERVED || end == CallEnd.WRONG || end == CallEnd.RAN) return end
            delay(pause(answer, attempt))
        }
        return end
    }

    /** A later refusal does not undo that an earlier attempt may have run. */
    private fun worse(before: CallEnd, now: CallEnd): CallEnd =
        if (before == CallEnd.UNKNOWN && now == CallEnd.NOT_RUN) before else now

    private fun pause(answer: EntryAnswer, attempt: Int): Duration {
        val asked = (answer as? EntryAnswer.Answered)?.retryAfterSeconds?.seconds ?: Duration.ZERO
        return maxOf(PAUSE * (attempt + 1), minOf(asked, MAX_PAUSE))
    }

    private fun judge(call: PlannedCall, request: EntryCall, answer: EntryAnswer): CallEnd = when (answer) {
        is EntryAnswer.Unreachable -> CallEnd.NOT_RUN

        is EntryAnswer.Broken -> CallEnd.UNKNOWN

        is EntryAnswer.Answered -> when {
            answer.status == OK -> judgeBody(call, request, answer)
            answer.execution == "not-run" -> CallEnd.NOT_RUN
            answer.execution == "ran" -> if (call.kind == CallKind.BOOKING) CallEnd.RAN else CallEnd.UNKNOWN
            else -> CallEnd.UNKNOWN
        }
    }

    private fun judgeBody(call: PlannedCall, request: EntryCall, answer: EntryAnswer.Answered): CallEnd =
        when (verdict(call, request, answer.body)) {
            Verdict.OWN -> CallEnd.SERVED

            Verdict.CUT -> CallEnd.UNKNOWN

            Verdict.WRONG -> {
                System.err.println("caller: wrong answer to ${call.kind} ${call.id}: ${answer.body.take(MAX_SHOWN)}")
                CallEnd.WRONG
            }
        }

    private fun verdict(call: PlannedCall, request: EntryCall, body: String): Verdict = when (call.kind) {
        CallKind.COMPLETION -> AnswerCheck.completion(body, prompt(call), settings.seed, settings.maxTokens)
        CallKind.STREAM -> AnswerCheck.stream(body, prompt(call), settings.seed, settings.maxTokens)
        CallKind.LOOKUP, CallKind.BOOKING -> AnswerCheck.echo(body, request.uri, request.body.orEmpty())
    }

    private fun entryCall(call: PlannedCall): EntryCall {
        val headers = mapOf("Authorization" to "Bearer ${call.customer.key}")
        val path = settings.servicePath
        return when (call.kind) {
            CallKind.COMPLETION, CallKind.STREAM ->
                EntryCall(HttpMethod.Post, "/v1/completions", completion(call), headers + JSON)

            CallKind.LOOKUP -> EntryCall(HttpMethod.Get, "$path/frames/${call.id}", body = null, headers)

            CallKind.BOOKING ->
                EntryCall(HttpMethod.Post, "$path/bookings", call.id, headers + ("Idempotency-Key" to call.id))
        }
    }

    private fun completion(call: PlannedCall): String = buildJsonObject {
        put("model", settings.model)
        put("prompt", prompt(call))
        put("max_tokens", settings.maxTokens)
        put("seed", settings.seed)
        put("stream", call.kind == CallKind.STREAM)
    }.toString()

    private fun prompt(call: PlannedCall) = "Where is the frame of ${call.customer.name}, ${call.id}?"

    private companion object {
        const val OK = 200
        const val MAX_SHOWN = 300
        val JSON = "Content-Type" to "application/json"
        val PAUSE = 200.milliseconds
        val MAX_PAUSE = 2.seconds
    }
}
