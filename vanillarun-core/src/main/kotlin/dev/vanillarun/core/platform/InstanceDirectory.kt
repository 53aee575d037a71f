package dev.vanillarun.core.platform

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import kotlin.time.Duration

/** State of an instance or a target in the platform's list. */
public enum class ListedState {
    /** Serving, may get new work. */
    LIVE,

    /** Draining before shutdown or removal; gets no new work. */
    LEAVING,
}

/** Entry of an instance in the platform's list. */
public data class ListedInstance(
    /** Identity of the instance. */
    public val id: InstanceId,
    /** Data centre that the instance runs in. */
    public val dataCentre: DataCentre,
    /** Address for callers' requests, `host:port`. */
    public val callerAddress: String,
    /** Address for calls of other instances, `host:port`. */
    public val peerAddress: String,
    /** Address for health checks, metrics and operator calls, `host:port`. */
    public val adminAddress: String,
    /** Whether the instance serves or is leaving. */
    public val state: ListedState = ListedState.LIVE,
)

/** Entry of a target in the platform's list. */
public data class ListedTarget(
    /** Identity of the target. */
    public val id: TargetId,
    /** Whether the target serves or is leaving. */
    public val state: ListedState,
)

/** Snapshot of the platform's list, which is out of date by [age]. */
public data class InstanceListing(
    /** Age of the contents when the list was read. */
    public val age: Duration,
    /** Instances that are live or leaving. */
    public val instances: List<ListedInstance>,
    /** Targets that are live or leaving. */
    public val targets: List<ListedTarget>,
)

/** The platform's eventually consistent list of instances and targets; its load balancer uses the same list. */
public interface InstanceDirectory {
    /** Reads the current list, which may lag by [InstanceListing.age]. */
    public suspend fun list(): PlatformResult<InstanceListing>

    /** Registers [instance] or updates its state, for instance to leaving. Idempotent. */
    public suspend fun announce(instance: ListedInstance): PlatformResult<Unit>

    /** Removes the entry of [id] from the list. */
    public suspend fun withdraw(id: InstanceId): PlatformResult<Unit>
}
