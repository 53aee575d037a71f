package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import java.util.SplittableRandom
import kotlin.math.exp
import kotlin.math.max
import kotlin.random.Random
import kotlin.time.DurationUnit

/**
 * Selects the target with the lowest expected completion time of the request.
 *
 * The expected time is computed from the target's learned speed and the estimated number of requests in flight, and
 * increased where [params] say so. Where targets report how much longer work takes on their machine at the moment,
 * that counts for as long as it is expected to last, and speeds learned long ago fade to the median. A target of
 * unknown speed gets that of [CompletionParameters.unknownSpeed]. A new or returning target warms up: it gets few
 * requests until it has completed some. [CompletionParameters.tieBreak] decides among nearly equal targets. [local]
 * is the data centre of this instance; null if that of a target does not matter.
 */
public class ExpectedCompletionSelector(
    private val local: DataCentre?,
    private val random: Random,
    private val params: CompletionParameters = CompletionParameters(),
) : TargetSelector {
    private val remoteRoundTrip = params.remoteRoundTrip.toDouble(DurationUnit.SECONDS)
    private val slowdownDecay = params.slowdownDecay.toDouble(DurationUnit.SECONDS)
    private val speedDecayNanos = params.speedDecay.toDouble(DurationUnit.NANOSECONDS)

    override fun select(
        candidates: List<TargetView>,
        request: RequestProfile,
        excluded: Set<TargetId>,
        now: Instant,
    ): TargetId? {
        val open = candidates.eligible(request, excluded)
        if (open.size <= 1) return open.firstOrNull()?.id
        val pool = open.filterNot { it.isWarmingUp() }.ifEmpty { open }
        val scores = scores(pool, speeds(candidates, pool, now), request, now)
        val limit = scores.min() * (1 + params.tolerance)
        val near = pool.filterIndexed { i, _ -> scores[i] <= limit }
        return choose(near, request, now).id
    }

    private fun choose(near: List<TargetView>, request: RequestProfile, now: Instant): TargetView {
        val prefix = request.prefix
        return when {
            near.size == 1 -> near.single()
            params.tieBreak == TieBreak.LEAST_LOADED -> near.minWith(compareBy({ it.load(now) }, { it.id.value }))
            prefix == null -> near.random(random)
            else -> near.maxBy { rendezvous(prefix, it.id) }
        }
    }

    private fun scores(
        pool: List<TargetView>,
        speeds: DoubleArray,
        request: RequestProfile,
        now: Instant,
    ): DoubleArray {
        val maxCost = max(1L, pool.maxOf { it.costPerHourMilli })
        val depths = DoubleArray(pool.size) { params.depth.depth(pool[it], now) }
        val crowding = depths.sum() / pool.sumOf { it.slots }
        return DoubleArray(pool.size) { i ->
            val view = pool[i]
            val busy = 1 + params.loadPenalty * depths[i] / view.slots + params.batchSlowdown * depths[i]
            val work = view.work(request, depths[i], crowding) * busy
            val time = (work + view.queueAhead(depths[i], request)) * speeds[i]
            (time + machineDelay(view, time, now) + roundTrip(view)) * factor(view) *
                (1 + params.maxCostPenalty * view.costPerHourMilli / maxCost)
        }
    }

    /** Seconds by which the slowness of the target's machine at [now] extends work that usually takes [time]. */
    private fun machineDelay(view: TargetView, time: Double, now: Instant): Double {
        val slowdown = view.stats.report?.slowdownAt(now, params.slowdownDecay) ?: return 0.0
        if (slowdown == 1.0) return 0.0
        return (slowdown - 1) * time * slowdownDecay / (time + slowdownDecay)
    }

    private val TargetView.isLocal: Boolean get() = local == null || dataCentre == local

    private fun roundTrip(view: TargetView): Double = if (view.isLocal) 0.0 else remoteRoundTrip

    private fun factor(view: TargetView): Double {
        val connection = if (view.connected) 1.0 else params.newConnectionFactor
        val remote = if (view.isLocal) 1.0 else params.remoteFactor
        val jitter = if (params.jitter > 0.0) 1 + params.jitter * random.nextDouble() else 1.0
        return connection * remote * jitter
    }

    private fun TargetView.work(request: RequestProfile, depth: Double, meanCrowding: Double): Long {
        val crowded = depth / slots > max(1.0, meanCrowding) * params.maxPrefixCrowding
        return if (id in request.cachedAt && !crowded) request.cachedWork else request.work
    }

    /** Work per slot that is queued ahead of the request on the target, in tokens. */
    private fun TargetView.queueAhead(depth: Double, request: RequestProfile): Double {
        val known = stats.inFlight > 0
        val mean = if (known) stats.outstandingWork.toDouble() / stats.inFlight else request.work.toDouble()
        return max(0.0, depth + 1 - slots) / slots * mean
    }

    private fun TargetView.load(now: Instant): Double = params.depth.depth(this, now) / slots

    private fun TargetView.isWarmingUp(): Boolean {
        if (stats.completions >= params.warmUpCompletions) return false
        return stats.inFlight >= 1 shl stats.completions
    }

    /** Seconds per token of each target in [pool]: as learned, nearer to the median the longer ago that was. */
    private fun speeds(candidates: List<TargetView>, pool: List<TargetView>, now: Instant): DoubleArray {
        val allKnown = pool.all { it.stats.secondsPerToken > 0.0 }
        val assumed = if (allKnown) 0.0 else assumedSecondsPerToken(candidates, pool)
        val typical = if (pool.any { it.ages() }) quantile(candidates, rank = { (it - 1) / 2 }) else 0.0
        return DoubleArray(pool.size) { i ->
            val stats = pool[i].stats
            val known = stats.secondsPerToken.takeIf { it > 0.0 } ?: assumed
            val age = stats.observedAt?.takeIf { pool[i].ages() }?.let { now.nanos - it.nanos } ?: 0
            if (age <= 0) known else typical + (known - typical) * exp(-age / speedDecayNanos)
        }
    }

    private fun TargetView.ages(): Boolean = stats.observedAt != null && stats.report?.slowdown != null

    private fun assumedSecondsPerToken(candidates: List<TargetView>, pool: List<TargetView>): Double =
        when (params.unknownSpeed) {
            UnknownSpeed.ELIGIBLE_MEDIAN -> quantile(pool, rank = { it / 2 })
            UnknownSpeed.CANDIDATE_MEDIAN -> quantile(candidates, rank = { it / 2 })
            UnknownSpeed.CANDIDATE_FASTEST -> quantile(candidates, rank = { 0 })
        }

    /** The known time per token at [rank] of their number, in ascending order; the default if none is known. */
    private inline fun quantile(views: List<TargetView>, rank: (Int) -> Int): Double {
        val all = DoubleArray(views.size)
        var known = 0
        views.forEach { if (it.stats.secondsPerToken > 0.0) all[known++] = it.stats.secondsPerToken }
        all.sort(0, known)
        return if (known == 0) params.defaultSecondsPerToken else all[rank(known)]
    }
}

/** Rendezvous hash: requests with [prefix] prefer the [target] with the highest value. */
internal fun rendezvous(prefix: String, target: TargetId): Int =
    SplittableRandom((prefix + '\u0000' + target.value).hashCode().toLong()).nextInt()
