package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.job.SampleEvent
import io.ktor.http.Headers
import kotlin.time.Duration

/** A request for a target, in the product's terms. */
public class OutgoingRequest(
    /** Identity of the request; the target echoes it. */
    public val id: String,
    /** HTTP method. */
    public val method: String,
    /** Path with query, as the caller wrote it. */
    public val uri: String,
    /** Host that the caller named. */
    public val host: String,
    /** Headers of the caller that may travel on. */
    public val headers: Headers,
    /** Body. */
    public val body: ByteArray,
    /** Customer that it runs for; null on an open route. */
    public val customer: CustomerId?,
    /** Time that is left for the answer; null without a bound. */
    public val timeLeft: Duration?,
    /** Rank at the target, 0 first. */
    public val priority: Int,
    /** Number of the last event that was received; the answer goes on after it. */
    public val resumeAfter: Long? = null,
)

/** What the head of a target's answer says. */
public data class ResponseHead(
    /** HTTP status. */
    public val status: Int,
    /** Identity of the request that it belongs to; null if it does not say. */
    public val requestId: String?,
    /** Proof that a target made the answer; null if it has none. */
    public val signature: String?,
    /** True if the target says that it did not run the request. */
    public val notRun: Boolean,
    /** Weight version under which the answer begins. */
    public val weights: Long?,
    /** Load of the target, if it tells. */
    public val load: TargetLoad?,
)

/** Load as a target tells it beside an answer. */
public data class TargetLoad(
    /** Requests that run. */
    public val running: Int,
    /** Requests that wait. */
    public val waiting: Int,
    /** Requests that can run at a time. */
    public val slots: Int,
)

/** How targets are spoken to: names of headers and form of events. */
public interface TargetDialect {
    /** Headers of [request] towards [replica], all but those of the transport. */
    public fun headers(request: OutgoingRequest, replica: Replica): Headers

    /** Reads the head of an answer. */
    public fun head(status: Int, headers: Headers): ResponseHead

    /** Reads one event of a stream, the text between two blank lines; null if it is none. */
    public fun event(text: String): SampleEvent?
}
