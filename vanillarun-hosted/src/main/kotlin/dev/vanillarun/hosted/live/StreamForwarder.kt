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
import dev.vanillarun.hosted.target.OpenedAnswer
import dev.vanillarun.hosted.target.Sent
import dev.vanillarun.hosted.target.TargetBook
import dev.vanillarun.hosted.target.TargetDialect
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.readWhole
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
    private val book: TargetBook,
    private val crashes: CrashBoard,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private sealed interface Ended {
        /** The last event has been passed on. */
        data object Whole : Ended

        /** The target answered, but not with a stream. */
        class Other(val outcome: LiveOutcome.Whole) : Ended

        /** The target has not run the request. */
        class NotRun(val reason: String) : Ended

        /** The target may have run more than was passed on; [byTarget] if it broke the exchange off. */
        class Broken(val reason: String, val byTarget: Boolean = false) : Ended
    }

    /** Serves [request] into [sink]. */
    suspend fun serve(request: LiveRequest, sink: StreamSink): LiveOutcome {
        if (crashes.isRefused(request)) return LiveOutcome.NotRun("the request broke off at several targets")
        if (chooser.isFull(request.route)) return LiveOutcome.NotRun("all targets are full")
        val serving = Serving(request, sink)
        return withTimeoutOrNull(request.deadline - clock.now()) { serving.run() } ?: serving.late()
    }

    private inner class Serving(private val request: LiveRequest, private val sink: StreamSink) {
        private val resumable = request.route.resumable
        private val tried = mutableSetOf<TargetId>()
        private var last = request.resumeAfter ?: 0
        private var opened = false
        private var whole = false
        private var mayHaveRun = 0
        private var refusals = 0
        private var lastEventAt: Instant? = null
        private var failure: LiveOutcome.Whole? = null
        private var reason = "no target is known"

        suspend fun run(): LiveOutcome {
            do {
                val replica = next()
                val goesOn = replica != null && goesOn(attempt(replica))
            } while (goesOn)
            val answered = failure
            return when {
                opened -> LiveOutcome.Streamed(last, whole, reason)
                answered != null -> answered
                mayHaveRun > 0 -> LiveOutcome.Unknown(reason, late = false)
                else -> LiveOutcome.NotRun(reason)
            }
        }

        /** A target that may still be asked, or null. */
        private fun next(): Replica? {
            val spent = mayHaveRun >= request.route.maxAttempts || refusals >= MAX_REFUSALS
            val replica = if (spent) null else chooser.choose(request.route, tried + crashes.crashedTargets(request))
            replica?.let { tried += it.id }
            return replica
        }

        /** True if another target should be asked after one [ended]. */
        private fun goesOn(ended: Ended): Boolean {
            reason = ended.word()
            return when (ended) {
                Ended.Whole -> {
                    whole = true
                    false
                }

                is Ended.Other -> {
                    failure = ended.outcome
                    mayHaveRun++
                    resumable && ended.outcome.status >= FIRST_SERVER_ERROR
                }

                is Ended.NotRun -> {
                    refusals++
                    true
                }

                is Ended.Broken -> {
                    mayHaveRun++
                    resumable
                }
            }
        }

        fun late(): LiveOutcome {
            val why = "no whole answer in time"
            return if (opened) LiveOutcome.Streamed(last, false, why) else LiveOutcome.Unknown(why, late = true)
        }

        private suspend fun attempt(replica: Replica): Ended {
            val begun = clock.now()
            lastEventAt = null
            val after = last
            val outgoing = request.outgoing(begun, after.takeIf { it > 0 })
            val sent = if (resumable) {
                withStallLimit(STALL, clock) { activity ->
                    gateway.send(outgoing, replica) { pass(it, activity, replica) }
                }
            } else {
                gateway.send(outgoing, replica) { pass(it, Activity(clock), replica) }
            }
            val ended = when (sent) {
                null -> Ended.Broken("nothing was received for $STALL").also { book.failed(replica) }
                is Sent.Answered -> sent.value
                is Sent.NotRun -> Ended.NotRun(sent.reason)
                is Sent.Unknown -> Ended.Broken(sent.reason, byTarget = true)
            }
            if (ended !is Ended.NotRun) request.began(begun)
            if (ended is Ended.Broken && ended.byTarget) crashes.brokeOff(request, replica)
            if (ended == Ended.Whole) crashes.completed(request) else note(replica, ended, after, clock.now() - begun)
            return ended
        }

        private suspend fun pass(answer: OpenedAnswer, activity: Activity, replica: Replica): Ended {
            activity.seen()
            val status = answer.head.status
            if (status != OK) {
                val body = answer.body.readWhole(MAX_ANSWER_BYTES) ?: return Ended.Broken("a broken answer")
                val headers = HeaderRules.towardsCaller(answer.headers)
                return Ended.Other(LiveOutcome.Whole(status, headers, body, answer.head.signature))
            }
            if (answer.head.signature == null) return Ended.Broken("an answer without a signature")
            if (!opened) sink.open(status, HeaderRules.towardsCaller(answer.headers))
            opened = true
            return events(answer, activity, replica)
        }

        private suspend fun events(answer: OpenedAnswer, activity: Activity, replica: Replica): Ended {
            val splitter = EventSplitter()
            var part = answer.body.next()
            while (part is BodyPart.Bytes) {
                activity.seen()
                splitter.feed(part.bytes).firstNotNullOfOrNull { take(it, replica) }?.let { return it }
                part = answer.body.next()
            }
            val whole = part == BodyPart.End(clean = true) && splitter.pending == 0
            return if (whole) Ended.Whole else Ended.Broken("the stream broke off", byTarget = true)
        }

        /** Passes [bytes] on if it is the next event. */
        private suspend fun take(bytes: ByteArray, replica: Replica): Ended? {
            val event = dialect.event(bytes.decodeToString()) ?: return Ended.Broken("an event cannot be read")
            if (event.number != last + 1) return Ended.Broken("event ${event.number} came after $last")
            val now = clock.now()
            request.began(now)
            lastEventAt?.let { book.paced(replica, now - it) }
            lastEventAt = now
            sink.event(bytes)
            last = event.number
            return null
        }

        private fun note(replica: Replica, ended: Ended, after: Long, elapsed: Duration) {
            val what = mapOf(
                "target" to replica.id.value,
                "attempt" to "${tried.size}",
                "from_event" to "$after",
                "to_event" to "$last",
                "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
                "outcome" to ended.word(),
            )
            events.record("stream.attempt_ended", EventLinks(request = request.id), what)
        }

        private fun Ended.word(): String = when (this) {
            Ended.Whole -> "whole"
            is Ended.Other -> "answered ${outcome.status}"
            is Ended.NotRun -> "not run: $reason"
            is Ended.Broken -> "broken off: $reason"
        }
    }

    private companion object {
        const val OK = 200
        const val FIRST_SERVER_ERROR = 500

        /** Targets without room that are asked at most. */
        const val MAX_REFUSALS = 4

        /** Time without a byte after which a resumable stream goes on elsewhere; callers give up after 2 s. */
        val STALL = 1500.milliseconds

        /** Longest answer that is no stream, for instance the description of a failure. */
        const val MAX_ANSWER_BYTES = 1024 * 1024
    }
}
