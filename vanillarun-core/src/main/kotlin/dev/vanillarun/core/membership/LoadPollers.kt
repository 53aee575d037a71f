package dev.vanillarun.core.membership

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import java.util.SplittableRandom

/**
 * Assigns targets to instances by rendezvous hashing, without communication: instances with the same view of the
 * membership compute the same assignment.
 */
public data class LoadPollers(
    /** Number of instances that poll the load of one target. */
    public val perTarget: Int = 2,
) {
    /** Instances among [candidates] that poll the load of [target]. */
    public fun of(target: TargetId, candidates: Collection<InstanceId>): Set<InstanceId> = candidates
        .distinct()
        .map { it to weight(target, it) }
        .sortedWith(compareByDescending<Pair<InstanceId, Long>> { it.second }.thenBy { it.first.value })
        .take(perTarget)
        .mapTo(LinkedHashSet()) { it.first }

    private fun weight(target: TargetId, instance: InstanceId): Long =
        SplittableRandom((target.value + '\u0000' + instance.value).hashCode().toLong()).nextLong()
}
