package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.forward.HeaderRules
import dev.vanillarun.daemon.target.ConnectionUse
import dev.vanillarun.hosted.target.OpenedResponse
import dev.vanillarun.hosted.target.SendResult
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import dev.vanillarun.hosted.target.attributes
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Forwards requests whose response is buffered completely before it is passed on.
 *
 * A repeatable request without a response after its hedge delay is sent to a second target in parallel; the first
 * successful response wins and the other exchange is cancelled.
 */
internal class LiveForwarder(
    private val chooser: ReplicaChooser,
    private val gateway: TargetGateway,
    private val tracker: TargetTracker,
    private val crashes: CrashBoard,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    random: Random = Random.Default,
) {
    private val room = LiveRoom(chooser, tracker, clock, random)
    private val retries = RefusalRetries(random, MAX_SENDS)

    /** Requests, by kind, that got no further target after a refusal because the budget of retries was spent. */
    val retriesWithheld: Map<String, Long> get() = retries.withheld

    private sealed interface Attempt {
        class Answer(val outcome: LiveOutcome.Complete) : Attempt

        class NotRun(val reason: String, val refused: Boolean) : Attempt

        class Unknown(val reason: String, val connection: ConnectionUse?) : Attempt
    }

    private class InFlightAttempt(val replica: Replica, val since: Instant, val work: Job)

    /** Sends [request] to targets until one responds, the attempts are used up or the deadline passes. */
    suspend fun serve(request: LiveRequest): LiveOutcome {
        if (crashes.isRefused(request)) return LiveOutcome.NotRun("the request broke off at several targets")
        if (request.repeatable && !room.awaitRoom(request)) {
            events.record("call.refused_full", EventLinks(request = request.id), mapOf("kind" to request.kind.label))
            return LiveOutcome.NotRun("all targets are full")
        }
        retries.firstAttempt(request)
        return coroutineScope {
            val serving = Serving(request, this)
            try {
                serving.run()
            } finally {
                serving.stop()
            }
        }
    }

    /** Time after which the caller of [request], which was not run, should come back. */
    fun retryAfter(request: LiveRequest): Duration = room.retryAfter(request)

    private inner class Serving(private val request: LiveRequest, private val scope: CoroutineScope) {
        private val results = Channel<Attempt>(Channel.UNLIMITED)
        private val attempts = mutableListOf<InFlightAttempt>()
        private val triedIds = mutableSetOf<TargetId>()
        private var inFlight = 0
        private var mayHaveRun = 0
        private var failure: LiveOutcome.Complete? = null
        private var failedRuns = 0
        private var refused = false
        private var reason: String? = null

        suspend fun run(): LiveOutcome {
            start()
            while (inFlight > 0) {
                val left = request.deadline - clock.now()
                if (left <= Duration.ZERO) return LiveOutcome.Unknown("no answer in time", timedOut = true)
                val hedgeDelay = hedgeDelay()
                val result = awaitResult(minOf(left, hedgeDelay))
                when {
                    result != null -> handle(result)?.let { return it }
                    hedgeDelay < left -> start()
                }
            }
            failure?.let { return it }
            val reason = reason ?: chooser.reasonForNone(request)
            return when {
                mayHaveRun > 0 -> LiveOutcome.Unknown(reason, timedOut = false)
                else -> LiveOutcome.NotRun(reason, refused)
            }
        }

        /** Waits for a result. Unlike a receive within a timeout, a select never drops one that it has received. */
        @OptIn(ExperimentalCoroutinesApi::class)
        private suspend fun awaitResult(limit: Duration): Attempt? = select {
            results.onReceive { it }
            onTimeout(limit) { null }
        }

        private fun handle(result: Attempt): LiveOutcome? {
            inFlight--
            when (result) {
                is Attempt.Answer -> {
                    if (result.outcome.status < FIRST_SERVER_ERROR || !request.repeatable) return result.outcome
                    // Only 500 says that the request failed; 504, for instance, says that its time was up.
                    if (result.outcome.status == RUN_FAILED) failedRuns++
                    failure = result.outcome.after(failedRuns)
                    mayHaveRun++
                    reason = "the target failed with ${result.outcome.status}"
                }

                is Attempt.NotRun -> {
                    reason = result.reason
                    refused = refused || result.refused
                    if (result.refused && !mayGoOn()) return null
                }

                is Attempt.Unknown -> {
                    mayHaveRun++
                    reason = result.reason
                }
            }
            start()
            return null
        }

        /** True if a refused request goes to another target: within the budget, or to one known to have room. */
        private fun mayGoOn(): Boolean =
            retries.permits(request, triedIds.size, clock.now()) { room.isKnownBeyond(request, triedIds) }

        private fun hedgeDelay(): Duration = if (mayStart()) request.hedgeDelay else Duration.INFINITE

        /** True if the route, the time left and the attempts so far permit another attempt beside those in flight. */
        private fun mayStart(): Boolean {
            val maxRuns = if (request.repeatable) request.route.maxAttempts else 1
            return mayHaveRun + inFlight < maxRuns && triedIds.size < MAX_SENDS && clock.now() < request.deadline
        }

        private fun start() {
            if (!mayStart()) return
            val replica = chooser.choose(request, triedIds + crashes.crashedTargets(request)) ?: return
            triedIds += replica.id
            inFlight++
            attempts += InFlightAttempt(replica, clock.now(), scope.launch { results.send(attempt(replica)) })
        }

        /** Cancels attempts in flight; a target without a response for the whole objective counts as failed. */
        fun stop() {
            attempts.filter { it.work.isActive }.forEach {
                it.work.cancel()
                if (clock.now() - it.since >= request.route.objective) tracker.failed(it.replica)
            }
        }

        private suspend fun attempt(replica: Replica): Attempt {
            val sentAt = clock.now()
            request.onPassedOn(replica.id, sentAt)
            val sent = try {
                gateway.send(request.outgoing(sentAt), replica) { read(it, replica) }
            } catch (e: CancellationException) {
                request.markRunning(sentAt) // the target keeps running the request after the cancellation
                throw e
            }
            val result = when (sent) {
                is SendResult.Answered -> sent.value
                is SendResult.NotRun -> Attempt.NotRun(sent.reason, sent.refused)
                is SendResult.Unknown -> Attempt.Unknown(sent.reason, sent.connection)
            }
            val elapsed = clock.now() - sentAt
            if (result !is Attempt.NotRun) request.markRunning(sentAt)
            if (result is Attempt.Answer) {
                tracker.latencyObserved(replica, elapsed)
                crashes.completed(request)
            }
            if (sent is SendResult.Unknown) crashes.attemptBroke(request, replica, sent.cause)
            val attributes = mapOf(
                "target" to replica.id.value,
                "attempt" to "${triedIds.size}",
                "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
                "outcome" to when (result) {
                    is Attempt.Answer -> "answered ${result.outcome.status}"
                    is Attempt.NotRun -> "not run: ${result.reason}"
                    is Attempt.Unknown -> "unknown: ${result.reason}"
                },
            )
            val connection = (result as? Attempt.Unknown)?.connection.attributes()
            if (result !is Attempt.Answer) {
                events.record("attempt.failed", EventLinks(request = request.id), attributes + connection)
            }
            return result
        }
    }

    private suspend fun read(answer: OpenedResponse, replica: Replica): Attempt {
        val body = answer.readBody(MAX_RESPONSE_BYTES)
        val (status, signature) = answer.head.run { status to signature }
        if (body == null || (status < FIRST_ERROR && signature == null)) {
            return Attempt.Unknown("a broken answer", answer.connection)
        }
        val headers = HeaderRules.towardsCaller(answer.headers)
        val source = ResponseSource(replica.id, answer.connection)
        return Attempt.Answer(LiveOutcome.Complete(status, headers, body, signature, source))
    }

    private fun LiveOutcome.Complete.after(failedRuns: Int) =
        LiveOutcome.Complete(status, headers, body, signature, source, failedRuns)

    private companion object {
        const val FIRST_ERROR = 300
        const val FIRST_SERVER_ERROR = 500

        /** Status of a target that ran the request and failed. */
        const val RUN_FAILED = 500

        /** Maximum number of targets for one request, including those that rejected it. */
        const val MAX_SENDS = 4

        /** Maximum size of a buffered response. */
        const val MAX_RESPONSE_BYTES = 8 * 1024 * 1024
    }
}
