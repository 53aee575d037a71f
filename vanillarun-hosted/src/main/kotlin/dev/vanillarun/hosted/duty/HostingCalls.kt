package dev.vanillarun.hosted.duty

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.target.ResponseHead

/** Holder and term of a lease, sent with a call; the receiver can reject a term older than one that it has seen. */
public data class FencingToken(
    /** Instance that holds the lease. */
    public val holder: InstanceId,
    /** Term of the lease: the offset of its claim, which increases with each holder. */
    public val term: Offset,
)

/** State of an engine, as it reports it. */
public data class EngineStatus(
    /** Weight version that the engine serves, by model. */
    public val weights: Map<String, WeightVersion>,
    /** True while the engine executes a load order. */
    public val busy: Boolean,
    /** Number of orders accepted since the engine started. */
    public val acceptedOrders: Long,
)

/** Treatment of requests that are in flight during a weight load. */
public enum class InFlightPolicy {
    /** They finish on the old weights before the load. */
    FINISH,

    /** They continue on the new weights. */
    CONTINUE,
}

/** Order to an engine to load a weight version. */
public data class LoadOrder(
    /** Name of the model. */
    public val model: String,
    /** Version to load. */
    public val version: WeightVersion,
    /** Treatment of requests in flight. */
    public val inFlight: InFlightPolicy,
    /**
     * [EngineStatus.acceptedOrders] at the time of the decision. The engine refuses the order if it has accepted others
     * since, which makes a late or repeated order harmless.
     */
    public val basedOn: Long,
)

/** Response of an engine to a [LoadOrder]. */
public enum class OrderAnswer {
    /** The engine executes the order. */
    ACCEPTED,

    /** The engine already serves the version. */
    HOLDS,

    /** The engine has accepted another order since [LoadOrder.basedOn]. */
    CONFLICT,

    /** The engine has seen a newer fencing token. */
    FENCED,

    /** The engine refuses the order for another reason. */
    REJECTED,
}

/** Order that sets the number of a service's targets of one kind, firm or reclaimable, in a data centre. */
public data class FleetOrder(
    /** Name of the service. */
    public val service: String,
    /** Data centre to which the number applies. */
    public val dataCentre: DataCentre,
    /** Total number of targets of this kind, including those that already run. */
    public val desired: Int,
    /** True for targets that the platform may reclaim at any time; false for firm ones. */
    public val reclaimable: Boolean,
)

/** Response of the hosting platform to a [FleetOrder]. */
public enum class FleetAnswer {
    /** The platform starts or stops targets to reach the number. */
    ORDERED,

    /** The platform has no such targets at the moment; the fleet is unchanged. */
    SOLD_OUT,
}

/** Calls to engines and to the hosting platform; all but [engineStatus] are reserved for the holder of the duty. */
public interface HostingCalls {
    /**
     * Reads the state of [engine] if [guard] permits it; null if it does not, if the engine does not respond in time or
     * if its response cannot be decoded. [onHead] receives the head of the response, also of one that is not complete.
     */
    public suspend fun engineStatus(
        engine: Replica,
        guard: SendGuard = SendGuard.Always,
        onHead: (ResponseHead) -> Unit,
    ): EngineStatus?

    /**
     * Sends [order] to [engine] if [guard] permits it; does not wait for the load. [onHead] receives the head of the
     * response, also of one that is not complete.
     */
    public suspend fun order(
        engine: Replica,
        order: LoadOrder,
        token: FencingToken,
        guard: SendGuard,
        onHead: (ResponseHead) -> Unit,
    ): PlatformResult<OrderAnswer>

    /** Sends [order] to the hosting platform; repeating it has no further effect. */
    public suspend fun orderTargets(order: FleetOrder, token: FencingToken): PlatformResult<FleetAnswer>

    /** Reports the number of requests of each customer in the usage window with number [window]. */
    public suspend fun reportUsage(
        window: Long,
        requests: Map<CustomerId, Long>,
        token: FencingToken,
    ): PlatformResult<Unit>
}
