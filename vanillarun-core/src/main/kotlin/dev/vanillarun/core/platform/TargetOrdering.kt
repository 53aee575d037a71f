package dev.vanillarun.core.platform

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.zone.DataCentre
import kotlin.time.Duration

/** Request to the platform to run a given number of targets. */
public data class TargetOrder(
    /** Idempotency key; the platform ignores further orders with the same id. */
    public val id: String,
    /** Data centre in which the targets are to run. */
    public val dataCentre: DataCentre,
    /** Route that the targets are to serve. */
    public val route: RouteName,
    /** Total number of targets to run, not the difference to the current number. */
    public val desired: Int,
    /** Term of the issuer's lease; the platform does not check it. */
    public val term: Offset,
    /** Instance that sends the order as holder of the duty. */
    public val issuer: InstanceId,
)

/** Client for orders of targets. The platform does not check terms, so [SendGuard] has to prevent stale orders. */
public fun interface TargetOrdering {
    /**
     * Sends [order]; checks [guard] again before the body is sent.
     *
     * @param timeout time after which the connection is closed; must end before the issuer's lease expires
     */
    public suspend fun order(order: TargetOrder, guard: SendGuard, timeout: Duration): PlatformResult<Unit>
}
