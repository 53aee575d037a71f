package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import java.util.SplittableRandom
import kotlin.math.max
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Parameters of [ExpectedCompletionSelector]. */
public data class CompletionParameters(
    /** Assumed round-trip time to a target in another data centre. */
    public val remoteRoundTrip: Duration = 2.milliseconds,
    /** Relative distance from the best score within which targets count as equal. */
    public val tolerance: Double = 0.05,
    /** Fraction by which cost increases the score of the most expensive target; cheaper ones in proportion. */
    public val maxCostPenalty: Double = 0.02,
    /** Load per slot, as a multiple of the mean, above which a cached prefix is no longer taken into account. */
    public val maxPrefixCrowding: Double = 1.25,
)

/**
 * Selects the target with the lowest expected completion time of the request.
 *
 * The expected time is computed from the target's learned speed and the estimated number of requests in flight. A
 * target of unknown speed is assumed to have the median speed of the known ones. A new or returning target warms up: it
 * gets few requests until it has completed some. Among nearly equal targets, requests with the same prefix go to the
 * same target; other requests go to a random one, so that instances with the same reports do not all select alike.
 */
public class ExpectedCompletionSelector(
    private val local: DataCentre,
    private val random: Random,
    private val params: CompletionParameters = CompletionParameters(),
) : TargetSelector {
    override fun select(
        candidates: List<TargetView>,
        request: RequestProfile,
        excluded: Set<TargetId>,
        now: Instant,
    ): TargetId? {
        val open = candidates.eligible(request, excluded)
        if (open.size <= 1) return open.firstOrNull()?.id
        val pool = open.filterNot { it.isWarmingUp() }.ifEmpty { open }
        val scores = scores(pool, request, now)
        val limit = scores.min() * (1 + params.tolerance)
        val near = pool.filterIndexed { i, _ -> scores[i] <= limit }
        return choose(near, request).id
    }

    private fun choose(near: List<TargetView>, request: RequestProfile): TargetView {
        val prefix = request.prefix ?: return near.random(random)
        return near.maxBy { rendezvous(prefix, it.id) }
    }

    private fun scores(pool: List<TargetView>, request: RequestProfile, now: Instant): DoubleArray {
        val medianSecondsPerToken = medianSecondsPerToken(pool)
        val maxCost = max(1L, pool.maxOf { it.costPerHourMilli })
        val depths = DoubleArray(pool.size) { pool[it].stats.depth(now, pool[it].concurrency) }
        val crowding = depths.sum() / pool.sumOf { it.concurrency.coerceAtLeast(1) }
        return DoubleArray(pool.size) { i ->
            val view = pool[i]
            val secondsPerToken = view.stats.secondsPerToken.takeIf { it > 0.0 } ?: medianSecondsPerToken
            val work = view.work(request, depths[i], crowding)
            val wait = view.queueAhead(depths[i], request) * secondsPerToken
            val roundTrip = if (view.dataCentre == local) 0.0 else params.remoteRoundTrip.toDouble(DurationUnit.SECONDS)
            (work * secondsPerToken + wait + roundTrip) *
                (1 + params.maxCostPenalty * view.costPerHourMilli / maxCost)
        }
    }

    private fun TargetView.work(request: RequestProfile, depth: Double, meanCrowding: Double): Long {
        val crowded = depth / concurrency.coerceAtLeast(1) > max(1.0, meanCrowding) * params.maxPrefixCrowding
        return if (id in request.cachedAt && !crowded) request.cachedWork else request.work
    }

    /** Work per slot that is queued ahead of the request on the target, in tokens. */
    private fun TargetView.queueAhead(depth: Double, request: RequestProfile): Double {
        val slots = concurrency.coerceAtLeast(1)
        val mean = if (stats.inFlight ==
            0
        ) {
            request.work.toDouble()
        } else {
            stats.outstandingWork.toDouble() / stats.inFlight
        }
        return max(0.0, depth + 1 - slots) / slots * mean
    }

    private fun TargetView.isWarmingUp(): Boolean {
        if (stats.completions >= WARM_UP_COMPLETIONS) return false
        return stats.inFlight >= 1 shl stats.completions
    }

    private fun medianSecondsPerToken(pool: List<TargetView>): Double {
        val known = pool.mapNotNull { view -> view.stats.secondsPerToken.takeIf { it > 0.0 } }.sorted()
        return if (known.isEmpty()) 1.0 else known[known.size / 2]
    }

    private companion object {
        /** Number of completions after which the warm-up of a target ends. */
        const val WARM_UP_COMPLETIONS = 6
    }
}

/** Rendezvous hash: requests with [prefix] prefer the [target] with the highest value. */
internal fun rendezvous(prefix: String, target: TargetId): Int =
    SplittableRandom((prefix + '\u0000' + target.value).hashCode().toLong()).nextInt()
