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
import dev.vanillarun.daemon.target.BreakCause
import dev.vanillarun.daemon.target.ConnectionUse
import dev.vanillarun.hosted.target.Activity
import dev.vanillarun.hosted.target.MAX_EVENT_BYTES
import dev.vanillarun.hosted.target.OpenedResponse
import dev.vanillarun.hosted.target.SendResult
import dev.vanillarun.hosted.target.TargetDialect
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import dev.vanillarun.hosted.target.attributes
import dev.vanillarun.hosted.target.withStallLimit
import io.ktor.http.Headers
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives the response of a stream for the caller. */
internal interface StreamSink {
    /** Starts the response with the status and headers of the first target; called at most once. */
    suspend fun open(status: Int, headers: Headers)

    /** Writes one complete event. */
    suspend fun event(bytes: ByteArray)
}

/**
 * Forwards requests whose response is a stream of events.
 *
 * Events are forwarded complete and in order. A resumable stream continues at another target after the last forwarded
 * event, under the status and headers of the first; any other stream ends when its target disconnects. A request
 * without any response is sent to another target only if the first has not run it, or if the stream is resumable.
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
    private sealed interface Outcome {
        /** The stream ended normally after its last event was forwarded. */
        data object Complete : Outcome

        /** The target responded with a status other than 200. */
        class NonStream(val outcome: LiveOutcome.Complete) : Outcome

        /** The target has not run the request and will not. */
        class NotRun(val reason: String) : Outcome

        /** The target may have run the request further than was forwarded; [cause] is null if this side stopped it. */
        class Interrupted(val reason: String, val cause: BreakCause? = null) : Outcome
    }

    /** Forwards [request] and writes its events to [sink] until the stream ends or the deadline passes. */
    suspend fun serve(request: LiveRequest, sink: StreamSink): LiveOutcome {
        if (crashes.isRefused(request)) return LiveOutcome.NotRun("the request broke off at several targets")
        if (chooser.isFull(request)) return LiveOutcome.NotRun("all targets are full")
        val serving = Serving(request, sink)
        return withTimeoutOrNull(request.deadline - clock.now()) { serving.run() } ?: serving.timedOut()
    }

    private inner class Serving(private val request: LiveRequest, private val sink: StreamSink) {
        private val resumable = request.route.resumable
        private val triedIds = mutableSetOf<TargetId>()
        private var lastId = request.resumeAfter ?: 0
        private var opened = false

        /** True while a head or an event is sent to the caller; stays true if that was cut short. */
        private var sending = false
        private var complete = false
        private var mayHaveRun = 0
        private var refusals = 0
        private var lastEventAt: Instant? = null
        private var failure: LiveOutcome.Complete? = null
        private var reason: String? = null
        private var connection: ConnectionUse? = null

        suspend fun run(): LiveOutcome {
            do {
                val replica = next()
                val shouldRetry = replica != null && shouldRetry(attempt(replica))
            } while (shouldRetry)
            val errorResponse = failure
            val reason = reason ?: chooser.reasonForNone(request)
            return when {
                opened -> LiveOutcome.Streamed(lastId, complete, reason)
                errorResponse != null -> errorResponse
                mayHaveRun > 0 -> LiveOutcome.Unknown(reason, timedOut = false)
                else -> LiveOutcome.NotRun(reason)
            }
        }

        /** Chooses the target of the next attempt; null if the attempts are used up or no target is left. */
        private fun next(): Replica? {
            val spent = mayHaveRun >= request.route.maxAttempts || refusals >= MAX_REFUSALS
            val replica = if (spent) null else chooser.choose(request, triedIds + crashes.crashedTargets(request))
            replica?.let { triedIds += it.id }
            return replica
        }

        /** True if another attempt should follow one with outcome [end]. */
        private fun shouldRetry(end: Outcome): Boolean {
            reason = end.describe()
            return when (end) {
                Outcome.Complete -> {
                    complete = true
                    false
                }

                is Outcome.NonStream -> {
                    failure = end.outcome
                    mayHaveRun++
                    resumable && end.outcome.status >= FIRST_SERVER_ERROR
                }

                is Outcome.NotRun -> {
                    refusals++
                    true
                }

                is Outcome.Interrupted -> {
                    mayHaveRun++
                    resumable && !sending
                }
            }
        }

        fun timedOut(): LiveOutcome {
            val why = "no whole answer in time"
            return if (opened) LiveOutcome.Streamed(lastId, false, why) else LiveOutcome.Unknown(why, timedOut = true)
        }

        private suspend fun attempt(replica: Replica): Outcome {
            val begun = clock.now()
            request.onPassedOn(replica.id, begun)
            lastEventAt = null
            connection = null
            val from = lastId
            val outgoing = request.outgoing(begun, from.takeIf { it > 0 })
            val sent = if (resumable) {
                withStallLimit(STALL_TIMEOUT, clock) { activity ->
                    gateway.send(outgoing, replica) { forwardResponse(it, activity, replica) }
                }
            } else {
                gateway.send(outgoing, replica) { forwardResponse(it, Activity(clock), replica) }
            }
            val end = when (sent) {
                null -> Outcome.Interrupted("no event was received for $STALL_TIMEOUT").also { tracker.failed(replica) }

                is SendResult.Answered -> sent.value

                is SendResult.NotRun -> Outcome.NotRun(sent.reason)

                is SendResult.Unknown -> {
                    connection = sent.connection
                    Outcome.Interrupted(sent.reason, sent.cause)
                }
            }
            if (end !is Outcome.NotRun) request.markRunning(begun)
            if (end is Outcome.Interrupted) end.cause?.let { crashes.attemptBroke(request, replica, it) }
            if (end == Outcome.Complete) crashes.completed(request)
            record(replica, end, from, clock.now() - begun)
            return end
        }

        private suspend fun forwardResponse(answer: OpenedResponse, activity: Activity, replica: Replica): Outcome {
            activity.received()
            connection = answer.connection
            val status = answer.head.status
            if (status < FIRST_ERROR && answer.head.signature == null) {
                return Outcome.Interrupted("a success without a signature")
            }
            if (status != OK) {
                val body = answer.readBody(MAX_RESPONSE_BYTES) ?: return Outcome.Interrupted("a broken answer")
                val headers = HeaderRules.towardsCaller(answer.headers)
                val source = ResponseSource(replica.id, answer.connection)
                return Outcome.NonStream(LiveOutcome.Complete(status, headers, body, answer.head.signature, source))
            }
            if (!opened) {
                opened = true
                send(activity) { sink.open(status, HeaderRules.towardsCaller(answer.headers)) }
            }
            return events(answer, activity, replica)
        }

        /** Writes to the caller; a caller that reads slowly is no stall of the target. */
        private suspend fun send(activity: Activity, write: suspend () -> Unit) {
            sending = true
            activity.exempt(write)
            sending = false
        }

        private suspend fun events(answer: OpenedResponse, activity: Activity, replica: Replica): Outcome {
            val splitter = EventSplitter()
            var part = answer.body.next()
            while (part is BodyPart.Bytes) {
                val completed = splitter.feed(part.bytes)
                if (completed.isNotEmpty()) activity.received()
                completed.firstNotNullOfOrNull { forwardEvent(it, activity, replica) }?.let { return it }
                if (splitter.pending > MAX_EVENT_BYTES) return Outcome.Interrupted("an event is too long")
                part = answer.body.next()
            }
            val end = part as BodyPart.End
            if (end.clean && splitter.pending == 0) return Outcome.Complete
            val cutCause = if (answer.endsWithConnection) BreakCause.CONNECTION_ENDED else BreakCause.INVALID_ANSWER
            return Outcome.Interrupted("the stream broke off", end.cause ?: cutCause)
        }

        /** Forwards [bytes] if it is the next event; otherwise returns why the attempt ends. */
        private suspend fun forwardEvent(bytes: ByteArray, activity: Activity, replica: Replica): Outcome? {
            val event = dialect.event(bytes.decodeToString()) ?: return Outcome.Interrupted("an event cannot be read")
            if (event.number != lastId + 1) return Outcome.Interrupted("event ${event.number} came after $lastId")
            val now = clock.now()
            request.markRunning(now)
            lastEventAt?.let { tracker.latencyObserved(replica, now - it) }
            lastEventAt = now
            send(activity) { sink.event(bytes) }
            lastId = event.number
            return null
        }

        private fun record(replica: Replica, end: Outcome, from: Long, elapsed: Duration) {
            val attributes = mapOf(
                "target" to replica.id.value,
                "attempt" to "${triedIds.size}",
                "from_event" to "$from",
                "to_event" to "$lastId",
                "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
                "outcome" to end.describe(),
            ) + connection.attributes()
            events.record("stream.attempt_ended", EventLinks(request = request.id), attributes)
        }

        private fun Outcome.describe(): String = when (this) {
            Outcome.Complete -> "whole"
            is Outcome.NonStream -> "answered ${outcome.status}"
            is Outcome.NotRun -> "not run: $reason"
            is Outcome.Interrupted -> "broken off: $reason"
        }
    }

    private companion object {
        const val OK = 200
        const val FIRST_ERROR = 300
        const val FIRST_SERVER_ERROR = 500

        /** Maximum number of rejected attempts of one request. */
        const val MAX_REFUSALS = 4

        /** Time without an event after which a resumable stream moves to another target; callers time out after 2 s. */
        val STALL_TIMEOUT = 1500.milliseconds

        /** Maximum size of a response that is not a stream, for instance an error description. */
        const val MAX_RESPONSE_BYTES = 1024 * 1024
    }
}
