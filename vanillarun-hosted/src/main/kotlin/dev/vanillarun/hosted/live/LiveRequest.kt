package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogCustomer
import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.time.Instant
import dev.vanillarun.hosted.target.OutgoingRequest
import io.ktor.http.Headers
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request of a live caller, with route and customer found. */
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
    /** When the caller, or the operator, wants it to be over. */
    val deadline: Instant,
    /** Number of the last event of a stream that the caller has received. */
    val resumeAfter: Long? = null,
    /** Time without an answer after which a second target is asked, if the request may be repeated. */
    val hedgeDelay: Duration = maxOf(route.objective * HEDGE_FRACTION, MIN_HEDGE_DELAY),
    private val onRunning: (since: Instant) -> Unit = {},
) {
    private val running = AtomicBoolean()

    /** Notes that a target has been running the request [since] then; later targets of the same request don't count. */
    fun markRunning(since: Instant) {
        if (running.compareAndSet(false, true)) onRunning(since)
    }

    /** Stands for the content, whatever the identity of the request. */
    val fingerprint: Fingerprint by lazy { Fingerprint.of(method, uri, body) }

    /** True if running twice does no harm. */
    val repeatable: Boolean get() = route.kind == RequestKind.IDEMPOTENT

    /** Rank, 0 first; a customer's own goes before the route's. */
    val priority: Int get() = customer?.priority ?: route.priority

    /** The request as it leaves at [now]; a stream goes on after event [after]. */
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
    )

    private companion object {
        /** Part of the objective after which a second target is asked while a caller waits. */
        const val HEDGE_FRACTION = 0.5
        val MIN_HEDGE_DELAY = 40.milliseconds
    }
}

/** What a live caller gets. */
internal sealed interface LiveOutcome {
    /** The whole answer of a target; [serverErrors] targets failed, this one counted if it did. */
    class Complete(
        val status: Int,
        val headers: Headers,
        val body: ByteArray,
        val signature: String?,
        val serverErrors: Int = 0,
    ) : LiveOutcome

    /** The answer was passed on event by event, [complete] or broken off after event [lastEventNumber]. */
    data class Streamed(val lastEventNumber: Long, val complete: Boolean, val reason: String) : LiveOutcome

    /** No target has run it, and none will. */
    data class NotRun(val reason: String) : LiveOutcome

    /** It may have run; [timedOut] if its time is up. */
    data class Unknown(val reason: String, val timedOut: Boolean) : LiveOutcome
}
