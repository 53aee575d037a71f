package dev.vanillarun.hosted.front

import dev.vanillarun.core.catalog.CatalogCustomer
import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.zone.allowedRegions
import dev.vanillarun.hosted.job.JobBoard
import dev.vanillarun.hosted.job.JobRecords
import dev.vanillarun.hosted.job.LookupResult
import dev.vanillarun.hosted.store.DurableAppender
import io.ktor.http.ContentType
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Handles the submission, the reads and the end of batch jobs. */
internal class JobEndpoint(
    private val dialect: CallerDialect,
    private val board: JobBoard,
    private val appender: DurableAppender,
    private val writer: String,
    private val wallClock: () -> Long,
) {
    /** Submits a job; accepts it once the store has confirmed its record. */
    suspend fun submit(
        head: RequestHead,
        metadata: CallMetadata,
        route: CatalogRoute,
        customer: CatalogCustomer?,
        body: ByteArray,
    ): Reply {
        val id = metadata.id ?: return Reply(BAD_REQUEST, "malformed: the submission has no identity")
        board.table.value.jobs[JobId(id)]?.job?.let { known ->
            val sameCustomer = known.customer == customer?.id
            return if (sameCustomer) Reply(ACCEPTED, "already submitted") else Reply(CONFLICT, "the id is in use")
        }
        if (allowedRegions(route.regions, customer?.regions.orEmpty())?.isEmpty() == true) {
            return Reply.notRun("route and customer have no allowed region in common", NO_REGION_RETRY_AFTER)
        }
        val job = when (val read = dialect.submission(head, route, customer?.id, wallClock(), body)) {
            is Submission.Accepted -> read.job
            is Submission.Malformed -> return Reply(BAD_REQUEST, "malformed: ${read.message}")
        }
        val timeout =
            minOf(metadata.timeLeft?.minus(RESPONSE_MARGIN) ?: Duration.INFINITE, route.timeout, MAX_APPEND_TIME)
        return append(JobRecord.Submitted(job), timeout, ACCEPTED)
    }

    /** Handles [operation] on a job of [customer]. */
    suspend fun handle(operation: CallerCall, customer: CatalogCustomer?): Reply = when (operation) {
        is CallerCall.Results -> results(operation, customer)
        is CallerCall.ItemBody -> itemBody(operation, customer)
        is CallerCall.EndJob -> end(operation.job, customer)
        is CallerCall.Malformed -> Reply(BAD_REQUEST, "malformed: ${operation.message}")
        CallerCall.Request -> Reply(NOT_FOUND, "no route")
    }

    private suspend fun results(operation: CallerCall.Results, customer: CatalogCustomer?): Reply {
        val found = board.find(operation.job).of(customer)
        if (found !is LookupResult.Found) return missing(found)
        val page = when (val read = board.results(operation.job, operation.after, operation.wait)) {
            is LookupResult.Found -> read.value
            else -> return missing(read)
        }
        val text = dialect.results(page.total, page.next, page.results)
        val reason = "results ${operation.after} to ${page.next} of ${page.total}"
        return Reply.content(OK, reason, text.encodeToByteArray(), ContentType.Application.Json.toString())
    }

    private suspend fun itemBody(operation: CallerCall.ItemBody, customer: CatalogCustomer?): Reply {
        val found = board.find(operation.job).of(customer)
        if (found !is LookupResult.Found) return missing(found)
        val job = when (val lookup = board.findWithItems(operation.job)) {
            is LookupResult.Found -> lookup.value
            else -> return missing(lookup)
        }
        val item = job.items.find { it.id == operation.item } ?: return missing(LookupResult.Absent)
        val bytes = Base64.getDecoder().decode(item.body)
        return Reply.content(OK, "body", bytes, ContentType.Application.OctetStream.toString())
    }

    private suspend fun end(id: JobId, customer: CatalogCustomer?): Reply {
        val found = board.find(id).of(customer)
        if (found !is LookupResult.Found) return missing(found)
        if (found.value.ended) return Reply(OK, "already ended")
        return append(JobRecord.Ended(id), MAX_APPEND_TIME, OK)
    }

    private suspend fun append(record: JobRecord, timeout: Duration, successStatus: Int): Reply =
        when (val outcome = appender.offer(JobRecords.encode(record, writer, appender.limits), timeout)) {
            TopicAppendResult.Done -> Reply(successStatus, "recorded")
            is TopicAppendResult.Refused -> Reply.notRun(outcome.reason, STORE_RETRY_AFTER)
            is TopicAppendResult.Rejected -> tooLarge(outcome.reason)
            is TopicAppendResult.InDoubt -> Reply(GATEWAY_TIMEOUT, outcome.reason)
        }

    private fun tooLarge(reason: String): Reply {
        val text = "the job cannot be stored: $reason; submit its items as several jobs\n"
        return Reply.content(PAYLOAD_TOO_LARGE, reason, text.encodeToByteArray(), ContentType.Text.Plain.toString())
    }

    private fun missing(lookup: LookupResult<*>): Reply = if (lookup ==
        LookupResult.Absent
    ) {
        Reply(NOT_FOUND, "no such job")
    } else {
        Reply.notRun("not sure of the job", STORE_RETRY_AFTER)
    }

    /** Treats another customer's job as absent for [customer]. */
    private fun LookupResult<JobView>.of(customer: CatalogCustomer?): LookupResult<JobView> =
        if (this is LookupResult.Found && value.job?.customer != customer?.id) LookupResult.Absent else this

    private companion object {
        const val OK = 200
        const val ACCEPTED = 202
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val PAYLOAD_TOO_LARGE = 413
        const val GATEWAY_TIMEOUT = 504

        /** Time reserved for the response to reach the caller before its deadline. */
        val RESPONSE_MARGIN = 50.milliseconds

        /** Maximum time for an append; after that, a retry at another instance is more likely to succeed. */
        val MAX_APPEND_TIME = 2000.milliseconds
        val STORE_RETRY_AFTER = 200.milliseconds

        /** Only a new catalog helps. */
        val NO_REGION_RETRY_AFTER = 5.seconds
    }
}
