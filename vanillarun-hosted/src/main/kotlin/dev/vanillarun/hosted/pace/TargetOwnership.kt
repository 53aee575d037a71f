package dev.vanillarun.hosted.pace

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.hosted.job.SlotMembership

/** Decides which instance may send requests to a cold target. */
internal fun interface TargetOwnership {
    /** True if this instance owns [replica], and for as long as the store gives it to no other. */
    fun owns(replica: Replica): Boolean

    /** True if this instance owns [replica] by the latest grant it knows, even if that has lapsed. */
    fun ownsByLastGrant(replica: Replica): Boolean = owns(replica)
}

/** Ownership by the slot of the model on a target, [modelOf], or of the target itself if it has none. */
internal class SlotOwnership(private val slots: () -> SlotMembership, private val modelOf: (Replica) -> String?) :
    TargetOwnership {
    override fun owns(replica: Replica): Boolean = slots().holds(subject(replica))

    override fun ownsByLastGrant(replica: Replica): Boolean = slots().owns(subject(replica))

    private fun subject(replica: Replica): String = modelOf(replica) ?: replica.id.value
}
