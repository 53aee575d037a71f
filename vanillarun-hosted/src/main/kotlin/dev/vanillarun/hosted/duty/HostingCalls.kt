package dev.vanillarun.hosted.duty

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.zone.DataCentre

/** Who acts on a duty, and with which fencing number. */
public data class FencingToken(
    /** Instance. */
    public val holder: InstanceId,
    /** Term of its lease. */
    public val term: Offset,
)

/** What an engine says of itself when asked. */
public data class EngineStatus(
    /** Version of each model. */
    public val weights: Map<String, WeightVersion>,
    /** True while an order is carried out. */
    public val busy: Boolean,
    /** Orders that it has accepted since its start. */
    public val acceptedOrders: Long,
)

/** What becomes of requests that run while weights change. */
public enum class InFlightPolicy {
    /** They end under the old weights before the change. */
    FINISH,

    /** They go on under the new weights. */
    CONTINUE,
}

/** Order to an engine to load weights. */
public data class LoadOrder(
    /** Model. */
    public val model: String,
    /** Version. */
    public val version: WeightVersion,
    /** What becomes of running requests. */
    public val inFlight: InFlightPolicy,
    /** [EngineStatus.acceptedOrders] that the order is based on; it has no effect on an engine that is further. */
    public val basedOn: Long,
)

/** Answer of an engine to an order. */
public enum class OrderAnswer {
    /** It is being carried out. */
    ACCEPTED,

    /** The engine already serves the version. */
    HOLDS,

    /** Another order was first. */
    CONFLICT,

    /** A successor has given orders already. */
    FENCED,

    /** The engine does not take it. */
    REJECTED,
}

/** Order for the number of a service's targets of one kind in a data centre. */
public data class FleetOrder(
    /** Service. */
    public val service: String,
    /** Data centre. */
    public val dataCentre: DataCentre,
    /** Targets of this kind that are wanted in all. */
    public val desired: Int,
    /** True for targets that the platform may take away again. */
    public val reclaimable: Boolean,
)

/** Answer of the hosting platform to a [FleetOrder]. */
public enum class FleetAnswer {
    /** They are being started, or given up. */
    ORDERED,

    /** None are to be had at the moment. */
    SOLD_OUT,
}

/** Calls to engines and to the hosting platform that only the holder of a duty may make. */
public interface HostingCalls {
    /** Asks [engine] for its state; null if it does not answer. */
    public suspend fun engineStatus(engine: Replica): EngineStatus?

    /** Gives [order] to [engine]. */
    public suspend fun order(engine: Replica, order: LoadOrder, token: FencingToken): PlatformResult<OrderAnswer>

    /** Orders [order]'s number of targets. */
    public suspend fun orderTargets(order: FleetOrder, token: FencingToken): PlatformResult<FleetAnswer>

    /** Reports the requests of each customer in [window]. */
    public suspend fun reportUsage(
        window: Long,
        requests: Map<CustomerId, Long>,
        token: FencingToken,
    ): PlatformResult<Unit>
}
