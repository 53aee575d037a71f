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
import dev.vanillarun.daemon.stream.EventSplitter
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.hosted.target.Activity
import dev.vanillarun.hosted.target.OpenedAnswer
import dev.vanillarun.hosted.target.OutgoingRequest
import dev.vanillarun.hosted.target.Sent
import dev.vanillarun.hosted.target.TargetBook
import dev.vanillarun.hosted.target.TargetDialect
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.withStallLimit
import io.ktor.http.HeadersBuilder
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An item with its job and route. */
internal class SampleTask(val job: Job, val item: JobItem, val route: CatalogRoute)

/** How a run of an item at one engine ended. */
internal sealed interface RunEnd {
    /** The stream came to its end. */
    data class Complete(val transcript: Transcript) : RunEnd

    /** The stream broke off or stalled; [transcript] is what was received, and another engine may go on. */
    data class Interrupted(val transcript: Transcript, val reason: String) : RunEnd

    /** What the engine sends cannot follow what was received; the item begins anew. */
    data class Unfit(val reason: String) : RunEnd

    /** The engine ran the item and failed. */
    data object Failed : RunEnd

    /** No engine can ever run the item. */
    data object Impossible : RunEnd

    /** The engine did not run it. */
    data class NotRun(val reason: String) : RunEnd
}

/** Runs items at engines and reads their streams. */
internal class SampleRun(
    private val gateway: TargetGateway,
    private val dialect: TargetDialect,
    private val book: TargetBook,
    private val clock: MonotonicClock,
) {
    private inner class Reader(
        private val task: SampleTask,
        private val replica: Replica,
        before: Transcript,
        private val onGrown: (Transcript) -> Unit,
    ) {
        var transcript: Transcript = before
            private set
        private var lastEventAt: Instant? = null

        suspend fun read(answer: OpenedAnswer, activity: Activity): RunEnd {
            activity.seen()
            when (answer.head.status) {
                OK -> Unit
                SERVER_ERROR -> return RunEnd.Failed
                IMPOSSIBLE -> return RunEnd.Impossible
                else -> return RunEnd.Interrupted(transcript, "status ${answer.head.status}")
            }
            val weights = answer.head.weights ?: 0
            if (task.job.model.isNotEmpty()) book.serves(replica, task.job.model, WeightVersion(weights))
            if (weights < task.job.minVersion) return RunEnd.NotRun("the engine serves version $weights")
            transcript = transcript.resumedUnder(weights)
            return events(answer, activity)
        }

        private suspend fun events(answer: OpenedAnswer, activity: Activity): RunEnd {
            val splitter = EventSplitter()
            while (true) {
                val part = answer.body.next()
                if (part is BodyPart.Bytes) {
                    activity.seen()
                    splitter.feed(part.bytes).firstNotNullOfOrNull { take(it.decodeToString()) }?.let { return it }
                } else {
                    val whole =
                        part == BodyPart.End(clean = true) && splitter.pending == 0 && transcript.lastEventNumber > 0
                    return if (whole) RunEnd.Complete(transcript) else interrupted("the stream broke off")
                }
            }
        }

        private fun take(text: String): RunEnd? {
            val event = dialect.event(text) ?: return interrupted("an event cannot be read")
            val now = clock.now()
            lastEventAt?.let { book.paced(replica, now - it) }
            lastEventAt = now
            return when (val added = transcript.add(event, task.job.minVersion, task.route.singleVersion)) {
                is TranscriptAppendResult.Appended -> {
                    transcript = added.transcript
                    onGrown(transcript)
                    null
                }

                is TranscriptAppendResult.Rejected -> when (added.fault) {
                    EventFault.OUT_OF_ORDER -> interrupted(
                        "event ${event.number} came after ${transcript.lastEventNumber}",
                    )

                    EventFault.TOO_OLD, EventFault.MIXED -> RunEnd.Unfit(added.fault.name.lowercase())
                }
            }
        }

        private fun interrupted(reason: String) = RunEnd.Interrupted(transcript, reason)
    }

    /** Runs [task] at [replica], going on after [before]; [onGrown] is told of each event that was taken. */
    suspend fun run(
        task: SampleTask,
        replica: Replica,
        before: Transcript,
        onGrown: (Transcript) -> Unit = {},
    ): RunEnd {
        val reader = Reader(task, replica, before, onGrown)
        val sent = withStallLimit(STALL, clock) { activity ->
            gateway.send(outgoing(task, before), replica) { reader.read(it, activity) }
        }
        return when (sent) {
            null -> RunEnd.Interrupted(reader.transcript, "nothing was received for $STALL").also {
                book.failed(replica)
            }

            is Sent.Answered -> sent.value

            is Sent.NotRun -> RunEnd.NotRun(sent.reason)

            is Sent.Unknown -> RunEnd.Interrupted(reader.transcript, sent.reason)
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
            timeLeft = LONGEST_RUN,
            priority = task.route.priority,
            resumeAfter = before.lastEventNumber.takeIf { it > 0 },
        )
    }

    private companion object {
        const val OK = 200
        const val SERVER_ERROR = 500
        const val IMPOSSIBLE = 422

        /** Time without a byte after which an engine is left; a load of weights takes about a second. */
        val STALL = 1800.milliseconds

        /** Bound on a run that nobody waits for any more, for instance behind a cut link. */
        val LONGEST_RUN = 30.seconds
    }
}
