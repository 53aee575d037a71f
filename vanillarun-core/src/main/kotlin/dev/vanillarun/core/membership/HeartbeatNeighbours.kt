package dev.vanillarun.core.membership

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.time.Instant
import java.util.SplittableRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Chooses the few instances that an instance exchanges heartbeats with, so that its number of connections does not grow
 * with the number of instances.
 *
 * Candidates are ranked by rendezvous hashing, and the rank of each changes once per [period], at a different phase for
 * each candidate. The choice thus rotates gradually through all candidates, so that no group of instances stays
 * isolated by chance.
 */
public data class HeartbeatNeighbours(
    /** Number of neighbours that are chosen. */
    public val count: Int = 6,
    /** Time for which the rank of a candidate stays the same. */
    public val period: Duration = 30.seconds,
) {
    /** Neighbours of [self] among [candidates] at [now]; fewer than [count] if there are not enough candidates. */
    public fun of(self: InstanceId, candidates: Collection<InstanceId>, now: Instant): List<InstanceId> = candidates
        .filter { it != self }
        .distinct()
        .map { it to weight(self, it, now) }
        .sortedWith(compareBy<Pair<InstanceId, Long>> { it.second }.thenBy { it.first.value })
        .take(count)
        .map { it.first }

    private fun weight(self: InstanceId, candidate: InstanceId, now: Instant): Long {
        val seed = (self.value + '\u0000' + candidate.value).hashCode().toLong()
        val phase = period * SplittableRandom(seed).nextDouble()
        val periodIndex = ((now - Instant(0) + phase) / period).toLong()
        return SplittableRandom(seed * SEED_STRIDE + periodIndex).nextLong()
    }

    private companion object {
        /**
         * Multiplier of the pair seed, greater than the number of periods in any run, so that the seeds of two pairs
         * differ.
         */
        const val SEED_STRIDE = 1_000_003L
    }
}
