package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.forward.HeaderRules
import dev.vanillarun.daemon.stream.EventSplitter
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.hosted.target.Activity
import dev.vanillarun.hosted.target.OpenedResponse
import dev.vanillarun.hosted.target.SendResult
import dev.vanillarun.hosted.target.TargetTracker
import dev.vanillarun.hosted.target.TargetDialect
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.readFully
import dev.vanillarun.hosted.target.withStallLimit
import io.ktor.http.Headers
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Where the events of a stream go. */
internal interface StreamSink {
    /** Begins the answer with the head that the first target gave. */
    suspend fun open(status: Int, headers: Headers)

    /** Passes one whole event on. */
    suspend fun event(bytes: ByteArray)
}

/**
 * Serves requests whose answer is a stream of events.
 *
 * Events are passed on whole and in order. A stream that may be resumed goes on at another target after the last event
 * that was passed on, under the head of the first; any other is broken off with its target. A request of which no byte
 * was answered goes to another target only if the first has not run it, or if the stream may be resumed.
 */
internal class StreamForwarder(
    private val chooser: ReplicaChooser,
    private val gateway: TargetGateway,
    private val dialect: TargetDialect,
    private val tracker: TargetTracker,
    private val crashes: CrashBoard,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private sealed interface AttemptEnd {
        /** The last event has been passed on. */
        data object Complete : AttemptEnd

        /** The target answered, but not with a stream. */
        class NonStream(val outcome: LiveOutcome.Complete) : AttemptEnd

        /** The target has not run the request. */
        class NotRun(val reason: String) : AttemptEnd

        /** The target may have run more than was passed on; [byTarget] if it broke the exchange off. */
        class Interrupted(val reason: String, val byTarget: Boolean = false) : AttemptEnd
    }

    /** Serves [request] into [sink]. */
    suspend fun serve(request: LiveRequest, sink: StreamSink): LiveOutcome {
        if (crashes.isRefused(request)) return LiveOutcome.NotRun("the request broke off at several targets")
        if (chooser.isFull(request.route)) return LiveOutcome.NotRun("all targets are full")
        val serving = Serving(request, sink)
        return withTimeoutOrNull(request.deadline - clock.now()) { serving.run() } ?: serving.timedOut()
    }

    private inner class Serving(private val request: LiveRequest, private val sink: StreamSink) {
        private val resumable = request.route.resumable
        private val triedTargets = mutableSetOf<TargetId>()
        private var lastEventNumber = request.resumeAfter ?: 0
        private var opened = false
        private var whole = false
        private var mayHaveRun = 0
        private var refusals = 0
        private var lastEventAt: Instant? = null
        private var failure: LiveOutcome.Complete? = null
        private var reason = "no target is known"

        suspend fun run(): LiveOutcome {
            do {
                val replica = next()
                val shouldRetry = replica != null && shouldRetry(attempt(replica))
            } while (shouldRetry)
            val answered = failure
            return when {
                opened -> LiveOutcome.Streamed(lastEventNumber, whole, reason)
                answered != null -> answered
                mayHaveRun > 0 -> LiveOutcome.Unknown(reason, timedOut = false)
                else -> LiveOutcome.NotRun(reason)
            }
        }

        /** A target that may still be asked, or null. */
        private fun next(): Replica? {
            val spent = mayHaveRun >= request.route.maxAttempts || refusals >= MAX_REFUSALS
            val replica = if (spent) null else chooser.choose(request.route, triedTargets + crashes.crashedTargets(request))
            replica?.let { triedTargets += it.id }
            return replica
        }

        /** True if another target should be asked after one [ended]. */
        private fun shouldRetry(ended: AttemptEnd): Boolean {
            reason = ended.describe()
            return when (ended) {
                AttemptEnd.Complete -> {
                    whole = true
                    false
                }

                is AttemptEnd.NonStream -> {
                    failure = ended.outcome
                    mayHaveRun++
                    resumable && ended.outcome.status >= FIRST_SERVER_ERROR
                }

                is AttemptEnd.NotRun -> {
                    refusals++
                    true
                }

                is AttemptEnd.Interrupted -> {
                    mayHaveRun++
                    resumable
                }
            }
        }

        fun timedOut(): LiveOutcome {
            val why = "no whole answer in time"
            return if (opened) LiveOutcome.Streamed(lastEventNumber, false, why) else LiveOutcome.Unknown(why, timedOut = true)
        }

        private suspend fun attempt(replica: Replica): AttemptEnd {
            val begun = clock.now()
            lastEventAt = null
            val after = lastEventNumber
            val outgoing = request.outgoing(begun, after.takeIf { it > 0 })
            val sent = if (resumable) {
                withStallLimit(STALL_TIMEOUT, clock) { activity ->
                    gateway.send(outgoing, replica) { forwardResponse(it, activity, replica) }
                }
            } else {
                gateway.send(outgoing, replica) { forwardResponse(it, Activity(clock), replica) }
            }
            val ended = when (sent) {
                null -> AttemptEnd.Interrupted("nothing was received for $STALL_TIMEOUT").also { tracker.failed(replica) }
                is SendResult.Answered -> sent.value
                is SendResult.NotRun -> AttemptEnd.NotRun(sent.reason)
                is SendResult.Unknown -> AttemptEnd.Interrupted(sent.reason, byTarget = true)
            }
            if (ended !is AttemptEnd.NotRun) request.markRunning(begun)
            if (ended is AttemptEnd.Interrupted && ended.byTarget) crashes.targetDisconnected(request, replica)
            if (ended == AttemptEnd.Complete) crashes.completed(request) else recordAttempt(replica, ended, after, clock.now() - begun)
            return ended
        }

        private suspend fun forwardResponse(answer: OpenedResponse, activity: Activity, replica: Replica): AttemptEnd {
            activity.received()
            val status = answer.head.status
            if (status != OK) {
                val body = answer.body.readFully(MAX_RESPONSE_BYTES) ?: return AttemptEnd.Interrupted("a broken answer")
                val headers = HeaderRules.towardsCaller(answer.headers)
                return AttemptEnd.NonStream(LiveOutcome.Complete(status, headers, body, answer.head.signature))
            }
            if (answer.head.signature == null) return AttemptEnd.Interrupted("an answer without a signature")
            if (!opened) sink.open(status, HeaderRules.towardsCaller(answer.headers))
            opened = true
            return events(answer, activity, replica)
        }

        private suspend fun events(answer: OpenedResponse, activity: Activity, replica: Replica): AttemptEnd {
            val splitter = EventSplitter()
            var part = answer.body.next()
            while (part is BodyPart.Bytes) {
                activity.received()
                splitter.feed(part.bytes).firstNotNullOfOrNull { forwardEvent(it, replica) }?.let { return it }
                part = answer.body.next()
            }
            val whole = part == BodyPart.End(clean = true) && splitter.pending == 0
            return if (whole) AttemptEnd.Complete else AttemptEnd.Interrupted("the stream broke off", byTarget = true)
        }

        /** Passes [bytes] on if it is the next event. */
        private suspend fun forwardEvent(bytes: ByteArray, replica: Replica): AttemptEnd? {
            val event = dialect.event(bytes.decodeToString()) ?: return AttemptEnd.Interrupted("an event cannot be read")
            if (event.number != lastEventNumber + 1) return AttemptEnd.Interrupted("event ${event.number} came after $lastEventNumber")
            val now = clock.now()
            request.markRunning(now)
            lastEventAt?.let { tracker.latencyObserved(replica, now - it) }
            lastEventAt = now
            sink.event(bytes)
            lastEventNumber = event.number
            return null
        }

        private fun recordAttempt(replica: Replica, ended: AttemptEnd, after: Long, elapsed: Duration) {
            val attributes = mapOf(
                "target" to replica.id.value,
                "attempt" to "${triedTargets.size}",
                "from_event" to "$after",
                "to_event" to "$lastEventNumber",
                "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
                "outcome" to ended.describe(),
            )
            events.record("stream.attempt_ended", EventLinks(request = request.id), attributes)
        }

        private fun AttemptEnd.describe(): String = when (this) {
            AttemptEnd.Complete -> "whole"
            is AttemptEnd.NonStream -> "answered ${outcome.status}"
            is AttemptEnd.NotRun -> "not run: $reason"
            is AttemptEnd.Interrupted -> "broken off: $reason"
        }
    }

    private companion object {
        const val OK = 200
        const val FIRST_SERVER_ERROR = 500

        /** Targets without room that are asked at most. */
        const val MAX_REFUSALS = 4

        /** Time without a byte after which a resumable stream goes on elsewhere; callers give up after 2 s. */
        val STALL_TIMEOUT = 1500.milliseconds

        /** Longest answer that is no stream, for instance the description of a failure. */
        const val MAX_RESPONSE_BYTES = 1024 * 1024
    }
}
