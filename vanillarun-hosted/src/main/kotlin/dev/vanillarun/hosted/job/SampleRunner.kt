package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.job.EventFault
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobItem
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.job.TranscriptAppendResult
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.zone.Region
import dev.vanillarun.core.zone.allowedRegions
import dev.vanillarun.daemon.stream.EventSplitter
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.hosted.target.Activity
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.MAX_EVENT_BYTES
import dev.vanillarun.hosted.target.OpenedResponse
import dev.vanillarun.hosted.target.OutgoingRequest
import dev.vanillarun.hosted.target.ResponseHead
import dev.vanillarun.hosted.target.SendResult
import dev.vanillarun.hosted.target.TargetDialect
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import dev.vanillarun.hosted.target.withStallLimit
import io.ktor.http.HeadersBuilder
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An item to run, with its job and the route that matches the job. */
internal class SampleTask(
    val job: Job,
    val item: JobItem,
    val route: CatalogRoute,
    /** Regions to which the customer of the job is limited; empty if it may be anywhere. */
    val customerRegions: Set<Region> = emptySet(),
) {
    /** What gates may know of a run of the item. */
    val gated: GatedRequest = GatedRequest(ExchangeKind.ITEM, allowedRegions(route.regions, customerRegions))

    /** Job and item, for events. */
    val links: EventLinks get() = EventLinks(request = job.id.value, sample = item.id.value)

    /** Expected number of generated tokens; their upper bound if the submitter gave no estimate. */
    val outputTokens: Long get() = item.expectedTokens ?: (item.tokens - item.promptTokens)
}

/** Outcome of a run of an item at one engine. */
internal sealed interface RunOutcome {
    /** The stream ended normally; [transcript] is the complete text. */
    data class Complete(val transcript: Transcript) : RunOutcome

    /** The stream broke off or stalled; another engine may resume after [transcript]. */
    data class Interrupted(val transcript: Transcript, val reason: String) : RunOutcome

    /** The events cannot extend the transcript, by their weight version; the item restarts from scratch. */
    data class Incompatible(val reason: String) : RunOutcome

    /**
     * What was received is too long for a text, goes on beyond the end of the item's text, or exceeds the memory. Which
     * part of it is sound is unknown, so the item restarts from scratch.
     */
    data class Overflowed(val reason: String) : RunOutcome

    /** The engine ran the item and responded with status 500. */
    data object Failed : RunOutcome

    /** The item is invalid for every engine (status 422) and is not retried. */
    data object Unprocessable : RunOutcome

    /** The engine did not run the item; it may be sent again. */
    data class NotRun(val reason: String) : RunOutcome
}

/** Text for events. */
internal fun RunOutcome.describe(): String = when (this) {
    is RunOutcome.Complete -> "complete after ${transcript.lastEventNumber} events"
    is RunOutcome.Interrupted -> "interrupted after ${transcript.lastEventNumber} events: $reason"
    is RunOutcome.Incompatible -> "unfit: $reason"
    is RunOutcome.Overflowed -> "overflowed: $reason"
    RunOutcome.Failed -> "failed"
    RunOutcome.Unprocessable -> "impossible"
    is RunOutcome.NotRun -> "not run: $reason"
}

/** Runs items at engines and collects their event streams into transcripts. */
internal class SampleRunner(
    private val gateway: TargetGateway,
    private val dialect: TargetDialect,
    private val tracker: TargetTracker,
    private val clock: MonotonicClock,
) {
    private inner class Reader(
        private val task: SampleTask,
        private val replica: Replica,
        private val before: Transcript,
        private val keep: (Transcript) -> Boolean,
    ) {
        var transcript: Transcript = before
            private set
        private var lastEventAt: Instant? = null

        suspend fun read(answer: OpenedResponse, activity: Activity): RunOutcome {
            activity.received()
            failure(answer.head)?.let { return it }
            val weights = answer.head.weights
            if (weights != null && task.job.model.isNotEmpty()) {
                tracker.versionObserved(replica, task.job.model, WeightVersion(weights))
            }
            // An engine that is asked to go on after the last event generates nothing, and names no version.
            val mayBeEmpty = weights == null && before.lastEventNumber > 0
            if ((weights ?: 0) < task.job.minVersion && !mayBeEmpty) {
                return RunOutcome.NotRun("the engine serves version ${weights ?: "unknown"}")
            }
            transcript = transcript.resumedUnder(weights ?: 0)
            return events(answer, activity)
        }

        /** Outcome of a run whose answer has [head]; null if that begins a stream of the engine. */
        private fun failure(head: ResponseHead): RunOutcome? = when {
            head.status == SERVER_ERROR -> RunOutcome.Failed
            head.status == UNPROCESSABLE -> RunOutcome.Unprocessable
            head.status != OK -> interrupted("status ${head.status}")
            head.signature == null -> interrupted("a success without a signature")
            else -> null
        }

        private suspend fun events(answer: OpenedResponse, activity: Activity): RunOutcome {
            val splitter = EventSplitter()
            while (true) {
                val part = answer.body.next()
                if (part is BodyPart.Bytes) {
                    val completed = splitter.feed(part.bytes)
                    if (completed.isNotEmpty()) activity.received()
                    completed.firstNotNullOfOrNull { accept(it.decodeToString()) }?.let { return it }
                    if (splitter.pending > MAX_EVENT_BYTES) return interrupted("an event is too long")
                } else {
                    val isClean = part == BodyPart.End(clean = true) && splitter.pending == 0
                    return if (isClean) ended(answer) else interrupted("the stream broke off")
                }
            }
        }

        private fun ended(answer: OpenedResponse): RunOutcome = when {
            transcript.lastEventNumber > before.lastEventNumber -> RunOutcome.Complete(transcript)

            transcript.lastEventNumber == 0L -> interrupted("the stream ended without an event")

            // Nothing else tells an empty answer to a complete text from one that was cut after its head.
            answer.endsWithConnection -> interrupted("the connection ended before an event")

            else -> RunOutcome.Complete(transcript)
        }

        private fun accept(text: String): RunOutcome? {
            val event = dialect.event(text) ?: return interrupted("an event cannot be read")
            val now = clock.now()
            lastEventAt?.let { tracker.latencyObserved(replica, now - it) }
            lastEventAt = now
            return when (val appendResult = transcript.add(event, task.job.minVersion, task.route.singleVersion)) {
                is TranscriptAppendResult.Appended -> {
                    transcript = appendResult.transcript
                    val isKept = keep(transcript)
                    if (isKept) null else RunOutcome.Overflowed("no memory after ${transcript.lastEventNumber} events")
                }

                is TranscriptAppendResult.Rejected -> when (appendResult.fault) {
                    EventFault.OUT_OF_ORDER -> interrupted(
                        "event ${event.number} came after ${transcript.lastEventNumber}",
                    )

                    EventFault.TOO_OLD, EventFault.MIXED -> RunOutcome.Incompatible(appendResult.fault.name.lowercase())

                    EventFault.TOO_LONG -> {
                        tracker.failed(replica)
                        RunOutcome.Overflowed("a text of more than ${Transcript.MAX_LENGTH} characters")
                    }
                }
            }
        }

        private fun interrupted(reason: String) = RunOutcome.Interrupted(transcript, reason)
    }

    /**
     * Runs [task] at [replica], resuming after [before]. After each new event [keep] receives the transcript, and
     * returns false if there is no memory for it.
     */
    suspend fun run(
        task: SampleTask,
        replica: Replica,
        before: Transcript,
        keep: (Transcript) -> Boolean = { true },
    ): RunOutcome {
        val outcome = runOnce(task, replica, before, keep)
        val isUnconfirmed = outcome is RunOutcome.Complete && outcome.transcript.eventData.size == before.eventData.size
        return if (isUnconfirmed) confirmEnd(task, replica, before, keep) else outcome
    }

    /**
     * Confirms that the text of [task] ends with [received], after which [replica] has generated no event. Engines
     * answer alike if the text ended earlier, so this one has to generate the last event again.
     */
    private suspend fun confirmEnd(
        task: SampleTask,
        replica: Replica,
        received: Transcript,
        keep: (Transcript) -> Boolean,
    ): RunOutcome {
        val shortened = received.withoutLastEvent() ?: return RunOutcome.Overflowed("an end that cannot be confirmed")
        val outcome = runOnce(task, replica, shortened, keep)
        val events = when (outcome) {
            is RunOutcome.Complete -> outcome.transcript.lastEventNumber
            is RunOutcome.Interrupted -> outcome.transcript.lastEventNumber
            else -> return outcome
        }
        return when {
            events >= received.lastEventNumber -> outcome
            outcome is RunOutcome.Interrupted -> outcome.copy(transcript = received)
            else -> RunOutcome.Overflowed("events beyond the end of the text")
        }
    }

    private suspend fun runOnce(
        task: SampleTask,
        replica: Replica,
        before: Transcript,
        keep: (Transcript) -> Boolean,
    ): RunOutcome {
        val reader = Reader(task, replica, before, keep)
        val sent = withStallLimit(STALL_TIMEOUT, clock) { activity ->
            gateway.send(outgoing(task, before), replica) { reader.read(it, activity) }
        }
        return when (sent) {
            null -> RunOutcome.Interrupted(reader.transcript, "no event was received for $STALL_TIMEOUT").also {
                tracker.failed(replica)
            }

            is SendResult.Answered -> sent.value

            is SendResult.NotRun -> RunOutcome.NotRun(sent.reason)

            is SendResult.Unknown -> RunOutcome.Interrupted(reader.transcript, sent.reason)
        }
    }

    private fun outgoing(task: SampleTask, before: Transcript): OutgoingRequest {
        val headers = HeadersBuilder()
        task.item.headers.forEach { (name, value) -> headers.append(name, value) }
        return OutgoingRequest(
            id = task.item.id.value,
            method = "POST",
            uri = task.item.path,
            host = task.job.host,
            headers = headers.build(),
            body = Base64.getDecoder().decode(task.item.body),
            customer = task.job.customer,
            timeLeft = RUN_TIMEOUT,
            priority = task.route.priority,
            resumeAfter = before.lastEventNumber.takeIf { it > 0 },
            kind = ExchangeKind.ITEM,
            regions = task.gated.regions,
        )
    }

    private companion object {
        const val OK = 200
        const val SERVER_ERROR = 500
        const val UNPROCESSABLE = 422

        /** Time without an event after which the run is cancelled; a weight load takes about a second. */
        val STALL_TIMEOUT = 1800.milliseconds

        /** Time limit that engines apply to a run, in case its client is gone, for instance behind a broken link. */
        val RUN_TIMEOUT = 30.seconds
    }
}
