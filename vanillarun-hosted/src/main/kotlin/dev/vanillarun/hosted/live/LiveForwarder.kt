package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.forward.HeaderRules
import dev.vanillarun.hosted.target.OpenedAnswer
import dev.vanillarun.hosted.target.Sent
import dev.vanillarun.hosted.target.TargetBook
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.readWhole
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/**
 * Serves requests whose answer is passed on whole.
 *
 * A repeatable request that is not answered in the usual time is sent to a second target beside the first; the first
 * good answer counts and the other exchange is closed.
 */
internal class LiveForwarder(
    private val chooser: ReplicaChooser,
    private val gateway: TargetGateway,
    private val book: TargetBook,
    private val crashes: CrashBoard,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private sealed interface Attempted {
        class Answer(val outcome: LiveOutcome.Whole) : Attempted

        class NotRun(val reason: String) : Attempted

        class Unknown(val reason: String) : Attempted
    }

    private class UnderWay(val replica: Replica, val since: Instant, val work: Job)

    /** Serves [request]. */
    suspend fun serve(request: LiveRequest): LiveOutcome {
        if (crashes.isRefused(request)) return LiveOutcome.NotRun("the request broke off at several targets")
        if (request.repeatable && chooser.isFull(request.route)) return LiveOutcome.NotRun("all targets are full")
        return coroutineScope {
            val serving = Serving(request, this)
            try {
                serving.run()
            } finally {
                serving.stop()
            }
        }
    }

    private inner class Serving(private val request: LiveRequest, private val scope: CoroutineScope) {
        private val results = Channel<Attempted>(Channel.UNLIMITED)
        private val attempts = mutableListOf<UnderWay>()
        private val tried = mutableSetOf<TargetId>()
        private var underWay = 0
        private var mayHaveRun = 0
        private var failure: LiveOutcome.Whole? = null
        private var serverErrors = 0
        private var reason = "no target is known"

        suspend fun run(): LiveOutcome {
            start()
            while (underWay > 0) {
                val left = request.deadline - clock.now()
                if (left <= Duration.ZERO) return LiveOutcome.Unknown("no answer in time", late = true)
                val result = withTimeoutOrNull(minOf(left, hedgeAfter())) { results.receive() }
                if (result == null) start() else take(result)?.let { return it }
            }
            return failure
                ?: if (mayHaveRun > 0) LiveOutcome.Unknown(reason, late = false) else LiveOutcome.NotRun(reason)
        }

        private fun take(result: Attempted): LiveOutcome? {
            underWay--
            when (result) {
                is Attempted.Answer -> {
                    if (result.outcome.status < FIRST_SERVER_ERROR || !request.repeatable) return result.outcome
                    serverErrors++
                    failure = result.outcome.after(serverErrors)
                    mayHaveRun++
                    reason = "the target failed with ${result.outcome.status}"
                }

                is Attempted.NotRun -> reason = result.reason

                is Attempted.Unknown -> {
                    mayHaveRun++
                    reason = result.reason
                }
            }
            if (request.repeatable || mayHaveRun == 0) start()
            return null
        }

        private fun hedgeAfter(): Duration {
            val mayHedge =
                request.repeatable && mayHaveRun + underWay < request.route.maxAttempts && tried.size < MAX_SENDS
            return if (mayHedge) request.hedgeAfter else Duration.INFINITE
        }

        private fun start() {
            if (mayHaveRun + underWay >= request.route.maxAttempts || tried.size >= MAX_SENDS) return
            val replica = chooser.choose(request.route, tried + crashes.crashedTargets(request)) ?: return
            tried += replica.id
            underWay++
            attempts += UnderWay(replica, clock.now(), scope.launch { results.send(attempt(replica)) })
        }

        /** Ends what is under way; a target that has been silent for long is passed over for a while. */
        fun stop() {
            attempts.filter { it.work.isActive }.forEach {
                it.work.cancel()
                if (clock.now() - it.since >= request.route.objective) book.failed(it.replica)
            }
        }

        private suspend fun attempt(replica: Replica): Attempted {
            val sentAt = clock.now()
            val sent = try {
                gateway.send(request.outgoing(sentAt), replica) { whole(it) }
            } catch (e: CancellationException) {
                request.began(sentAt) // the target works on although nobody waits any more
                throw e
            }
            val result = when (sent) {
                is Sent.Answered -> sent.value?.let { Attempted.Answer(it) } ?: Attempted.Unknown("a broken answer")
                is Sent.NotRun -> Attempted.NotRun(sent.reason)
                is Sent.Unknown -> Attempted.Unknown(sent.reason)
            }
            val elapsed = clock.now() - sentAt
            if (result !is Attempted.NotRun) request.began(sentAt)
            if (result is Attempted.Answer) {
                book.paced(replica, elapsed)
                crashes.completed(request)
            }
            if (sent is Sent.Unknown) crashes.brokeOff(request, replica)
            val what = mapOf(
                "target" to replica.id.value,
                "attempt" to "${tried.size}",
                "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
                "outcome" to when (result) {
                    is Attempted.Answer -> "answered ${result.outcome.status}"
                    is Attempted.NotRun -> "not run: ${result.reason}"
                    is Attempted.Unknown -> "unknown: ${result.reason}"
                },
            )
            if (result !is Attempted.Answer) events.record("attempt.failed", EventLinks(request = request.id), what)
            return result
        }
    }

    private suspend fun whole(answer: OpenedAnswer): LiveOutcome.Whole? {
        val body = answer.body.readWhole(MAX_ANSWER_BYTES) ?: return null
        val status = answer.head.status
        if (status < FIRST_ERROR && answer.head.signature == null) return null
        return LiveOutcome.Whole(status, HeaderRules.towardsCaller(answer.headers), body, answer.head.signature)
    }

    private fun LiveOutcome.Whole.after(errors: Int) = LiveOutcome.Whole(status, headers, body, signature, errors)

    private companion object {
        const val FIRST_ERROR = 300
        const val FIRST_SERVER_ERROR = 500

        /** Targets that are asked at most, counted with those that had no room. */
        const val MAX_SENDS = 4

        /** Longest answer that is held whole. */
        const val MAX_ANSWER_BYTES = 32 * 1024 * 1024
    }
}
