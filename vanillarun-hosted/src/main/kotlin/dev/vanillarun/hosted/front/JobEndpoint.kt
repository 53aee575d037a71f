package dev.vanillarun.hosted.front

import dev.vanillarun.core.catalog.CatalogCustomer
import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.store.TopicAppend
import dev.vanillarun.hosted.job.JobBoard
import dev.vanillarun.hosted.job.JobRecords
import dev.vanillarun.hosted.job.Lookup
import dev.vanillarun.hosted.store.DurableAppender
import io.ktor.http.ContentType
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Takes, reads and ends batch jobs. */
internal class JobEndpoint(
    private val dialect: CallerDialect,
    private val board: JobBoard,
    private val appender: DurableAppender,
    private val writer: String,
    private val wallClock: () -> Long,
) {
    /** Accepts a job once the store has it. */
    suspend fun submit(
        head: RequestHead,
        metadata: CallMetadata,
        route: CatalogRoute,
        customer: CatalogCustomer?,
        body: ByteArray,
    ): Reply {
        val id = metadata.id ?: return Reply(BAD_REQUEST, "malformed: the submission has no identity")
        if (board.table.value.jobs[JobId(id)]?.job != null) return Reply(ACCEPTED, "known already")
        val job = when (val read = dialect.submission(head, route, customer?.id, wallClock(), body)) {
            is Submission.Accepted -> read.job
            is Submission.Malformed -> return Reply(BAD_REQUEST, "malformed: ${read.message}")
        }
        val patience = minOf(metadata.timeLeft?.minus(ANSWER_TIME) ?: Duration.INFINITE, route.timeout, LONGEST_APPEND)
        return append(JobRecord.Submitted(job), patience, ACCEPTED)
    }

    /** Answers a call on a job of [customer]. */
    suspend fun answer(asked: CallerCall, customer: CatalogCustomer?): Reply = when (asked) {
        is CallerCall.Results -> results(asked, customer)
        is CallerCall.ItemBody -> itemBody(asked, customer)
        is CallerCall.EndJob -> end(asked.job, customer)
        is CallerCall.Malformed -> Reply(BAD_REQUEST, "malformed: ${asked.message}")
        CallerCall.Request -> Reply(NOT_FOUND, "no route")
    }

    private suspend fun results(asked: CallerCall.Results, customer: CatalogCustomer?): Reply {
        val found = board.find(asked.job).of(customer)
        if (found !is Lookup.Found) return missing(found)
        val page = when (val read = board.results(asked.job, asked.after, asked.wait)) {
            is Lookup.Found -> read.value
            else -> return missing(read)
        }
        val text = dialect.results(page.total, page.next, page.results)
        val reason = "results ${asked.after} to ${page.next} of ${page.total}"
        return Reply.content(OK, reason, text.encodeToByteArray(), ContentType.Application.Json.toString())
    }

    private suspend fun itemBody(asked: CallerCall.ItemBody, customer: CatalogCustomer?): Reply {
        val found = board.find(asked.job).of(customer)
        if (found !is Lookup.Found) return missing(found)
        val item = found.value.job?.items?.find { it.id == asked.item } ?: return missing(Lookup.Absent)
        val bytes = Base64.getDecoder().decode(item.body)
        return Reply.content(OK, "body", bytes, ContentType.Application.OctetStream.toString())
    }

    private suspend fun end(id: JobId, customer: CatalogCustomer?): Reply {
        val found = board.find(id).of(customer)
        if (found !is Lookup.Found) return missing(found)
        if (found.value.ended) return Reply(OK, "ended already")
        return append(JobRecord.Ended(id), LONGEST_APPEND, OK)
    }

    private suspend fun append(record: JobRecord, patience: Duration, done: Int): Reply =
        when (val outcome = appender.offer(JobRecords.encode(record, writer), patience)) {
            TopicAppend.Done -> Reply(done, "recorded")
            is TopicAppend.Refused -> Reply.notRun(outcome.reason, STORE_RETRY)
            is TopicAppend.InDoubt -> Reply(GATEWAY_TIMEOUT, outcome.reason)
        }

    private fun missing(lookup: Lookup<*>): Reply = if (lookup ==
        Lookup.Absent
    ) {
        Reply(NOT_FOUND, "no such job")
    } else {
        Reply.notRun("not sure of the job", STORE_RETRY)
    }

    /** A job of another customer does not exist for [customer]. */
    private fun Lookup<JobView>.of(customer: CatalogCustomer?): Lookup<JobView> =
        if (this is Lookup.Found && value.job?.customer != customer?.id) Lookup.Absent else this

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val GATEWAY_TIMEOUT = 504

        /** Time that an answer needs to reach the caller. */
        val ANSWER_TIME = 50.milliseconds

        /** Time after which another instance is likelier to reach the store. */
        val LONGEST_APPEND = 2000.milliseconds
        val STORE_RETRY = 200.milliseconds
    }
}
