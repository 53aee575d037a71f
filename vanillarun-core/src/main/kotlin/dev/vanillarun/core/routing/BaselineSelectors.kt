package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Selects the eligible targets in turn, regardless of their load. */
public class RoundRobinSelector : TargetSelector {
    private val nextIndex = AtomicInteger()

    override fun select(
        candidates: List<TargetView>,
        request: RequestProfile,
        excluded: Set<TargetId>,
        now: Instant,
    ): TargetId? {
        val open = candidates.eligible(request, excluded)
        if (open.isEmpty()) return null
        return open[Math.floorMod(nextIndex.getAndIncrement(), open.size)].id
    }
}

/** Selects the target with the fewest in-flight requests of this instance; load from other instances is ignored. */
public object LeastOutstandingSelector : TargetSelector {
    override fun select(
        candidates: List<TargetView>,
        request: RequestProfile,
        excluded: Set<TargetId>,
        now: Instant,
    ): TargetId? = candidates.eligible(request, excluded).minByOrNull { it.stats.inFlight }?.id
}

/** Draws two targets at random and selects the less loaded one. [random] must be thread-safe if it is shared. */
public class PowerOfTwoChoicesSelector(private val random: Random) : TargetSelector {
    override fun select(
        candidates: List<TargetView>,
        request: RequestProfile,
        excluded: Set<TargetId>,
        now: Instant,
    ): TargetId? {
        val open = candidates.eligible(request, excluded)
        if (open.isEmpty()) return null
        val first = open.random(random)
        val second = open.random(random)
        return if (second.depth(now) < first.depth(now)) second.id else first.id
    }

    private fun TargetView.depth(now: Instant): Double = stats.depth(now, concurrency)
}
