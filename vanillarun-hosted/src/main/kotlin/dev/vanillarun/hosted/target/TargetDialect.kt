package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.job.SampleEvent
import dev.vanillarun.core.zone.Region
import io.ktor.http.Headers
import kotlin.time.Duration

/** A request to a target, independent of the protocol of the targets. */
public class OutgoingRequest(
    /** Id of the request, which the target echoes. */
    public val id: String,
    /** HTTP method, in upper case. */
    public val method: String,
    /** Path with query, unchanged from the caller. */
    public val uri: String,
    /** Host to which the caller addressed the request. */
    public val host: String,
    /** Headers of the caller that may be forwarded. */
    public val headers: Headers,
    /** Complete request body; empty if there is none. */
    public val body: ByteArray,
    /** Customer that the request is for; null on an open route. */
    public val customer: CustomerId?,
    /** Time left until the deadline; null if there is none. */
    public val timeLeft: Duration?,
    /** Priority rank at the target, 0 first. */
    public val priority: Int,
    /** Number of the last received event, after which the stream resumes; null to start from the beginning. */
    public val resumeAfter: Long? = null,
    /** Kind of the exchange, for events and metrics. */
    public val kind: ExchangeKind = ExchangeKind.LIVE,
    /** Regions in which the request may be processed; null if any may. */
    public val regions: Set<Region>? = null,
) {
    /** What gates may know of the request. */
    public val gated: GatedRequest get() = GatedRequest(kind, regions)
}

/** Status and decoded headers of a target's response. */
public data class ResponseHead(
    /** HTTP status code, unchanged from the target. */
    public val status: Int,
    /** Id of the request that the response belongs to; null if it names none. */
    public val requestId: String?,
    /** Signature that proves that a target produced the response; null if absent. */
    public val signature: String?,
    /** True if the target declares that it did not run the request. */
    public val notRun: Boolean,
    /** Weight version at the start of the response; null if not reported. */
    public val weights: Long?,
    /** Load of the target; null if not reported. */
    public val load: TargetLoad?,
    /** True if the target that responded announces its departure: it will stop and must get no new requests. */
    public val leaving: Boolean = false,
    /** Time for which the target stays cold after the response; null if it does not say. */
    public val coldFor: Duration? = null,
) {
    /** True if another target than the intended one responded, which has not run the request. */
    public val wrongTarget: Boolean get() = status == MISDIRECTED

    /** True if the response belongs to a request with [id], or to a call without identity if that is null. */
    public fun answers(id: String?): Boolean = requestId == id

    private companion object {
        const val MISDIRECTED = 421
    }
}

/** Load that a target reports in the headers of a response. */
public data class TargetLoad(
    /** Number of running requests. */
    public val running: Int,
    /** Number of queued requests. */
    public val waiting: Int,
    /** Maximum number of concurrently running requests. */
    public val slots: Int,
    /**
     * Factor by which work takes longer on the machine of the target at the time of the report, one is usual; null if
     * the target does not report it.
     */
    public val slowdown: Double? = null,
)

/** Protocol of the targets: header names and event format. */
public interface TargetDialect {
    /** Builds the headers of [request] to [replica], without those of the transport. */
    public fun headers(request: OutgoingRequest, replica: Replica): Headers

    /** Decodes the status and headers of a response. */
    public fun head(status: Int, headers: Headers): ResponseHead

    /** Decodes one stream event, the text between two blank lines; null if it is malformed. */
    public fun event(text: String): SampleEvent?
}
