package dev.vanillarun.hosted.front

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import io.ktor.http.Headers
import kotlin.time.Duration

/** Head of a caller's request. */
public class RequestHead(
    /** HTTP method. */
    public val method: String,
    /** Path with query, as it was sent. */
    public val uri: String,
    /** Headers. */
    public val headers: Headers,
) {
    /** Path without query. */
    public val path: String get() = uri.substringBefore('?')
}

/** What a caller asks for. */
public sealed interface CallerCall {
    /** Results of a job. */
    public data class Results(
        /** Job. */
        public val job: JobId,
        /** Position of the first result that is asked for. */
        public val after: Int,
        /** Time that the call may wait for a result. */
        public val wait: Duration,
    ) : CallerCall

    /** Body of an item. */
    public data class ItemBody(
        /** Job. */
        public val job: JobId,
        /** Item. */
        public val item: ItemId,
    ) : CallerCall

    /** The end of a job. */
    public data class EndJob(
        /** Job. */
        public val job: JobId,
    ) : CallerCall

    /** A request through a route, or the submission of a job to one that takes them. */
    public data object Request : CallerCall

    /** The request cannot be understood. */
    public data class Malformed(
        /** What is wrong. */
        public val message: String,
    ) : CallerCall
}

/** Terms under which a caller sent a request. */
public data class CallMetadata(
    /** Identity of the request, chosen by the caller; null if it gave none. */
    public val id: String?,
    /** Time that the caller waits; null without a bound. */
    public val timeLeft: Duration?,
    /** Secret of the key; null without one. */
    public val key: String?,
    /** Host that it named, without port. */
    public val host: String,
    /** Number of the last event of a stream that it has received; null for a stream from its beginning. */
    public val resumeAfter: Long? = null,
)

/** Outcome of reading a submission. */
public sealed interface Submission {
    /** It is a job. */
    public data class Accepted(
        /** The job. */
        public val job: Job,
    ) : Submission

    /** It is none. */
    public data class Malformed(
        /** What is wrong. */
        public val message: String,
    ) : Submission
}

/** How callers speak: names of headers, forms of bodies. */
public interface CallerDialect {
    /** Path of the balancer's question whether the instance is ready. */
    public val readyPath: String

    /** Header that carries a request's identity. */
    public val idHeader: String

    /** What [head] asks for. */
    public fun call(head: RequestHead): CallerCall

    /** Terms of [head]. */
    public fun metadata(head: RequestHead): CallMetadata

    /** Reads a submission to [route]. */
    public fun submission(
        head: RequestHead,
        route: CatalogRoute,
        customer: CustomerId?,
        submittedAt: Long,
        body: ByteArray,
    ): Submission

    /** Form of [results] that begin at some position of a job with [total] items; [next] is the position after them. */
    public fun results(total: Int, next: Int, results: List<ItemResult>): String
}
