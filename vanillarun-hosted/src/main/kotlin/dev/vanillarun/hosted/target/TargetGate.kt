package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.zone.Region
import kotlin.time.Duration

/** Properties of a request on which it may depend whether a target gets it. */
public data class GatedRequest(
    /** Kind of the exchange. */
    public val kind: ExchangeKind,
    /** Regions in which the request may be processed; null if any may. */
    public val regions: Set<Region>? = null,
)

/** Why a target gets no request now. */
public data class GateRefusal(
    /** Cause, for events and refusals. */
    public val reason: String,
    /** Time from which the target may get the request; null if that is not known. */
    public val until: Instant? = null,
)

/** A condition under which targets get no requests. Implementations are thread-safe. */
public interface TargetGate {
    /** Returns why [replica] gets no [request] now, null if it may; asked for each candidate, without effect. */
    public fun refusal(replica: Replica, request: GatedRequest): GateRefusal?

    /** Returns how many further requests like [request] may be sent to [replica] now if [refusal] returns null. */
    public fun room(replica: Replica, request: GatedRequest): Int = Int.MAX_VALUE

    /** Asked once, immediately before [request] is sent to [replica]; a gate that limits a rate counts it here. */
    public fun enter(replica: Replica, request: GatedRequest): GateRefusal? = refusal(replica, request)

    /** Told once if [replica] responds with [head] to a [request] that passed [enter], before [ended]. */
    public fun responded(replica: Replica, request: GatedRequest, head: ResponseHead): Unit = Unit

    /** Told once for each [request] to [replica] that passed [enter], when it is over. */
    public fun ended(replica: Replica, request: GatedRequest, end: RequestEnd): Unit = Unit

    /** Told when no connection to [replica] could be opened. */
    public fun unreachable(replica: Replica): Unit = Unit
}

/** How a request ended that had passed the gates. */
public enum class RequestResult {
    /** The target ran it and responded. */
    ANSWERED,

    /** The target declared that it did not run it. */
    REFUSED,

    /** The target could not be reached, or ended the connection before the response was complete. */
    FAILED,

    /** Another target responded, the response is invalid, the connection is silent, or this instance gave it up. */
    INCONCLUSIVE,

    /** It was not sent and will not be. */
    WITHHELD,
}

/** End of a request that had passed the gates. */
public data class RequestEnd(
    /** Its result. */
    public val result: RequestResult,
    /** Time until the end. */
    public val elapsed: Duration,
    /** Time until the head of the response; null if none came. */
    public val headAfter: Duration? = null,
)

/** All gates that a request has to pass; [clock] measures the requests. */
public class TargetGates(
    private val gates: List<TargetGate> = emptyList(),
    internal val clock: MonotonicClock = SystemClock,
) {
    /** Returns why [replica] gets no [request] now, null if it may; without effect. */
    public fun refusal(replica: Replica, request: GatedRequest): GateRefusal? =
        gates.firstNotNullOfOrNull { it.refusal(replica, request) }

    /** Returns how many further requests like [request] all gates let pass to [replica] now, see [TargetGate.room]. */
    public fun room(replica: Replica, request: GatedRequest): Int =
        gates.minOfOrNull { it.room(replica, request) } ?: Int.MAX_VALUE

    /** Passes all gates with [request], which is sent to [replica] at once, or returns why it must not be. */
    public fun enter(replica: Replica, request: GatedRequest): GateRefusal? {
        val refusal = refusal(replica, request)
        if (refusal != null) return refusal
        gates.forEachIndexed { index, gate ->
            val last = gate.enter(replica, request) ?: return@forEachIndexed
            val withheld = RequestEnd(RequestResult.WITHHELD, Duration.ZERO)
            gates.take(index).forEach { it.ended(replica, request, withheld) }
            return last
        }
        return null
    }

    /** Passes the head of a response on to all gates, see [TargetGate.responded]. */
    public fun responded(replica: Replica, request: GatedRequest, head: ResponseHead): Unit =
        gates.forEach { it.responded(replica, request, head) }

    /** Passes the end of a request on to all gates, see [TargetGate.ended]. */
    public fun ended(replica: Replica, request: GatedRequest, end: RequestEnd): Unit =
        gates.forEach { it.ended(replica, request, end) }

    /** Passes on that [replica] could not be reached, see [TargetGate.unreachable]. */
    public fun unreachable(replica: Replica): Unit = gates.forEach { it.unreachable(replica) }
}
