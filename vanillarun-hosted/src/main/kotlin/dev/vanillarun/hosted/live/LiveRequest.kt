package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogCustomer
import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.Region
import dev.vanillarun.core.zone.allowedRegions
import dev.vanillarun.daemon.target.ConnectionUse
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.OutgoingRequest
import dev.vanillarun.hosted.target.attributes
import io.ktor.http.Headers
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request of a live caller, with its resolved route and customer. */
internal class LiveRequest(
    val id: String,
    val method: String,
    val uri: String,
    val host: String,
    val headers: Headers,
    val body: ByteArray,
    val route: CatalogRoute,
    val customer: CatalogCustomer?,
    val received: Instant,
    /** Deadline set by the caller or by the timeout of the route. */
    val deadline: Instant,
    /** Number of the last stream event that the caller has received; null to start from the beginning. */
    val resumeAfter: Long? = null,
    /** Time without a response after which a repeatable request is sent to a second target. */
    val hedgeDelay: Duration = maxOf(route.objective * HEDGE_FRACTION, MIN_HEDGE_DELAY),
    /** False for a request that is still owed after targets crashed while they served it. */
    val mayBeQuarantined: Boolean = true,
    /** Kind of the exchanges with targets. */
    val kind: ExchangeKind = if (route.kind == RequestKind.STREAM) ExchangeKind.STREAM else ExchangeKind.LIVE,
    /** True if live calls of equal priority go first at the targets. */
    val yieldsPriority: Boolean = false,
    /** Called before each attempt, with its target. */
    val onPassedOn: (target: TargetId, at: Instant) -> Unit = { _, _ -> },
    private val onRunning: (since: Instant) -> Unit = {},
    customerRegions: Set<Region> = customer?.regions.orEmpty(),
) {
    private val running = AtomicBoolean()

    /** Reports that a target runs the request since [since]; only the first call has an effect. */
    fun markRunning(since: Instant) {
        if (running.compareAndSet(false, true)) onRunning(since)
    }

    /** Hash of method, URI and body; equal for retries under another request id. */
    val fingerprint: Fingerprint by lazy { Fingerprint.of(method, uri, body) }

    /** True if the route declares its requests idempotent. */
    val repeatable: Boolean get() = route.kind == RequestKind.IDEMPOTENT

    /** Priority rank, 0 first; the customer's takes precedence over the route's. */
    val priority: Int get() = (customer?.priority ?: route.priority) + if (yieldsPriority) 1 else 0

    /** What gates may know of the request. */
    val gated: GatedRequest = GatedRequest(kind, allowedRegions(route.regions, customerRegions))

    /** Builds the request to a target at [now]; a stream resumes after event [after]. */
    fun outgoing(now: Instant, after: Long? = resumeAfter) = OutgoingRequest(
        id = id,
        method = method,
        uri = uri,
        host = host,
        headers = headers,
        body = body,
        customer = customer?.id,
        timeLeft = deadline - now,
        priority = priority,
        resumeAfter = after,
        kind = kind,
        regions = gated.regions,
    )

    private companion object {
        /** Fraction of the objective after which a hedge is sent. */
        const val HEDGE_FRACTION = 0.5
        val MIN_HEDGE_DELAY = 40.milliseconds
    }
}

/** Where a response came from, for events. */
internal class ResponseSource(private val target: TargetId, private val connection: ConnectionUse?) {
    /** Attributes of events that name the source. */
    val attributes: Map<String, String> get() = connection.attributes() + ("target" to target.value)
}

/** Outcome of a request of a live caller. */
internal sealed interface LiveOutcome {
    /** A complete response; [failedRuns] counts the attempts that a target ran and failed, including this one. */
    class Complete(
        val status: Int,
        val headers: Headers,
        val body: ByteArray,
        val signature: String?,
        val source: ResponseSource,
        val failedRuns: Int = 0,
    ) : LiveOutcome

    /** The response was streamed, to its end if [complete], otherwise cut off after event [lastEventNumber]. */
    data class Streamed(val lastEventNumber: Long, val complete: Boolean, val reason: String) : LiveOutcome

    /** No target has run the request or will run it; [refused] is true if a target got and refused it. */
    data class NotRun(val reason: String, val refused: Boolean = false) : LiveOutcome

    /** A target may have run the request; [timedOut] is true if the deadline has passed. */
    data class Unknown(val reason: String, val timedOut: Boolean) : LiveOutcome
}
