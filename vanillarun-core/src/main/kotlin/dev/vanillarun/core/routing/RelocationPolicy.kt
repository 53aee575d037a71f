package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import kotlin.math.max

/** A request that streams its response from a target, and that can be resumed on another target. */
public data class StreamingRequest<K>(
    /** Identity of the request, returned in [Relocation.key]. */
    public val key: K,
    /** Target that runs the request. */
    public val target: TargetId,
    /** Mean seconds per token observed on the stream; zero while unknown. */
    public val secondsPerToken: Double,
    /** Number of tokens generated so far. */
    public val generatedTokens: Long,
    /** Expected number of tokens of the complete response. */
    public val expectedTokens: Long,
    /** Number of tokens of the prompt, which a resumed run has to process again. */
    public val promptTokens: Long = 0,
    /** Number of earlier relocations. */
    public val moves: Int = 0,
)

/** Decision to resume a request on another target and to cancel it on its current one. */
public data class Relocation<K>(
    /** Identity of the request, from [StreamingRequest.key]. */
    public val key: K,
    /** Target to resume the request on. */
    public val to: TargetId,
)

/**
 * Moves the last running requests of a step from slow targets to free slots on fast ones, keeping the tokens generated
 * so far.
 *
 * Intended for the end of a step, when no request is queued. The remaining length of a response is estimated as the
 * expected length minus the generated tokens, but at least as many tokens as have been generated. A request moves only
 * if it is expected to finish at least [minSpeedup] times as fast, and at most [maxMoves] times.
 */
public class RelocationPolicy(private val minSpeedup: Double = 1.5, private val maxMoves: Int = 3) {
    /** Returns the relocation that saves the most time, or null if none reaches the minimum speedup. */
    public fun <K> relocate(
        running: List<StreamingRequest<K>>,
        views: List<TargetView>,
        now: Instant,
    ): Relocation<K>? {
        val free = views.filter { it.isFree(now) }
        return running
            .filter { it.moves < maxMoves && it.secondsPerToken > 0.0 }
            .mapNotNull { request -> bestRelocation(request, free) }
            .maxByOrNull { (_, gain) -> gain }
            ?.first
    }

    /**
     * Returns the target that [selector] selects for [request] among those of [candidates] with a free slot and a known
     * speed, if a run on [current] is expected to go on [minSpeedup] times as fast there; null otherwise.
     */
    public fun fasterTarget(
        current: TargetView,
        candidates: List<TargetView>,
        selector: TargetSelector,
        request: RequestProfile,
        now: Instant,
    ): TargetId? {
        val known = candidates.filter { it.id != current.id && it.stats.secondsPerToken > 0.0 }
        val full = known.filter { it.stats.inFlight >= it.concurrency }.mapTo(HashSet()) { it.id }
        val best = selector.select(known, request, full, now) ?: return null
        val other = known.first { it.id == best }.stats.secondsPerToken
        return best.takeIf { current.stats.secondsPerToken > other * minSpeedup }
    }

    private fun <K> bestRelocation(request: StreamingRequest<K>, free: List<TargetView>): Pair<Relocation<K>, Double>? {
        val target = free.filter { it.id != request.target }.minByOrNull { it.stats.secondsPerToken } ?: return null
        val remaining = remainingTokens(request)
        val resumed = RequestProfile(request.promptTokens + request.generatedTokens, remaining).work
        val current = remaining * request.secondsPerToken
        val other = resumed * target.stats.secondsPerToken
        return if (current < other * minSpeedup) null else Relocation(request.key, target.id) to current - other
    }

    private fun remainingTokens(request: StreamingRequest<*>): Long =
        max(request.expectedTokens - request.generatedTokens, request.generatedTokens)

    private fun TargetView.isFree(now: Instant): Boolean =
        !leaving && !ejected && stats.secondsPerToken > 0.0 && stats.depth(now, concurrency) < concurrency
}
