package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.Region

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

    /** Asked once, immediately before [request] is sent to [replica]; a gate that limits a rate counts it here. */
    public fun enter(replica: Replica, request: GatedRequest): GateRefusal? = refusal(replica, request)
}

/** All gates that a request has to pass. */
public class TargetGates(private val gates: List<TargetGate> = emptyList()) {
    /** Returns why [replica] gets no [request] now, null if it may; without effect. */
    public fun refusal(replica: Replica, request: GatedRequest): GateRefusal? =
        gates.firstNotNullOfOrNull { it.refusal(replica, request) }

    /** Passes all gates with [request], which is sent to [replica] at once, or returns why it must not be. */
    public fun enter(replica: Replica, request: GatedRequest): GateRefusal? =
        refusal(replica, request) ?: gates.firstNotNullOfOrNull { it.enter(replica, request) }
}
