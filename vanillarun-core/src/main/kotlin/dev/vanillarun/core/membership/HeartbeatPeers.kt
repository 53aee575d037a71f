package dev.vanillarun.core.membership

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import kotlin.random.Random

/**
 * Chooses the peer for the next heartbeat.
 *
 * Most heartbeats go to a neighbour in the same data centre. Half of those go to an instance whose summary is missing,
 * if there is one. A fraction goes to an instance in another data centre.
 */
public data class HeartbeatPeers(
    /** Neighbours in the same data centre. */
    public val localNeighbours: HeartbeatNeighbours = HeartbeatNeighbours(),
    /** Neighbours in other data centres. */
    public val remoteNeighbours: HeartbeatNeighbours = HeartbeatNeighbours(count = 2),
    /** One heartbeat in this many, on average, goes to another data centre. */
    public val remoteRatio: Int = 10,
) {
    /**
     * Peer for the next heartbeat of an instance in [local] with this [membership]; null if no member can be called.
     */
    public fun next(membership: Membership, local: DataCentre, now: Instant, random: Random): InstanceId? {
        val callable = membership.callable(now).toSet()
        val open = membership.members.filterValues { it in callable }
        val (localIds, remoteIds) = open.keys.partition { open.getValue(it).dataCentre == local }
        if (remoteIds.isNotEmpty() && (localIds.isEmpty() || random.nextInt(remoteRatio) == 0)) {
            return remoteNeighbours.of(membership.self, remoteIds, now).random(random)
        }
        val withoutSummary = localIds.filter { open.getValue(it).summary == null }
        if (withoutSummary.isNotEmpty() && random.nextBoolean()) return withoutSummary.random(random)
        return localNeighbours.of(membership.self, localIds, now).randomOrNull(random)
    }
}
