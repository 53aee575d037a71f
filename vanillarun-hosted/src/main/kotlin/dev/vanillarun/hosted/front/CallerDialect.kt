package dev.vanillarun.hosted.front

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import io.ktor.http.Headers
import kotlin.time.Duration

/** Request line and headers of a caller's request. */
public class RequestHead(
    /** HTTP method, such as `GET`. */
    public val method: String,
    /** Path and query as sent, not decoded. */
    public val uri: String,
    /** All headers as received. */
    public val headers: Headers,
) {
    /** Path without the query, not decoded. */
    public val path: String get() = uri.substringBefore('?')
}

/** Operation that a caller's request stands for. */
public sealed interface CallerCall {
    /** Reads a page of a job's results, with a long poll. */
    public data class Results(
        /** Id of the job. */
        public val job: JobId,
        /** Position of the first result of the page, from 0. */
        public val after: Int,
        /** Maximum time to wait for a result if none is available at [after]. */
        public val wait: Duration,
    ) : CallerCall

    /** Reads the request body of an item. */
    public data class ItemBody(
        /** Id of the job. */
        public val job: JobId,
        /** Item of [job]. */
        public val item: ItemId,
    ) : CallerCall

    /** Ends a job: its unfinished items are not run any more. */
    public data class EndJob(
        /** Id of the job. */
        public val job: JobId,
    ) : CallerCall

    /** Request to a route's targets, or submission of a job if the route is one for jobs. */
    public data object Request : CallerCall

    /** The request is invalid. */
    public data class Malformed(
        /** Names the place of the fault and its mend, for the caller. */
        public val message: String,
    ) : CallerCall
}

/** Properties of a call that the dialect reads from the request's headers. */
public data class CallMetadata(
    /** Request id chosen by the caller, which identifies retries of a request; null if it sent none. */
    public val id: String?,
    /** Time until the caller's deadline, counted from the receipt of the request; null without a deadline. */
    public val timeLeft: Duration?,
    /** API key; null if the caller sent none. */
    public val key: String?,
    /** Host header without the port; empty if the caller sent none. */
    public val host: String,
    /** Number of the last event that the caller has received; null for a stream from the beginning. */
    public val resumeAfter: Long? = null,
)

/** Decoded submission of a job. */
public sealed interface Submission {
    /** The submission is valid. */
    public data class Accepted(
        /** Job as submitted; not yet stored. */
        public val job: Job,
    ) : Submission

    /** The submission is invalid. */
    public data class Malformed(
        /** Reason for the response's log entry. */
        public val message: String,
    ) : Submission
}

/** Protocol of callers: paths, header names and body formats. */
public interface CallerDialect {
    /** Path of the load balancer's readiness probe. */
    public val readyPath: String

    /** Name of the header that carries the request id. */
    public val idHeader: String

    /** Names of the headers that a request may have once; one with several is refused, as each may be meant. */
    public val singleHeaders: Set<String>

    /** Maps [head] to an operation; [CallerCall.Malformed] if it is invalid. */
    public fun call(head: RequestHead): CallerCall

    /** Reads the call's properties from the headers of [head]. */
    public fun metadata(head: RequestHead): CallMetadata

    /** Decodes a submission to [route] by [customer]; [submittedAt] is in Unix milliseconds. */
    public fun submission(
        head: RequestHead,
        route: CatalogRoute,
        customer: CustomerId?,
        submittedAt: Long,
        body: ByteArray,
    ): Submission

    /** Encodes a page of [results] of a job with [total] items; [next] is the position after the last result. */
    public fun results(total: Int, next: Int, results: List<ItemResult>): String
}
