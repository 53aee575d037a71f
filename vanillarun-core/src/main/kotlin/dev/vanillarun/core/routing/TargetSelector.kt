package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre

/** Input of target selection for one target: its configuration, observed statistics and health. */
public data class TargetView(
    /** Identity of the target. */
    public val id: TargetId,
    /** Data centre that the target runs in. */
    public val dataCentre: DataCentre,
    /** Number of requests that the target runs concurrently without queueing. */
    public val concurrency: Int,
    /** Statistics that this instance collected about the target. */
    public val stats: TargetStats = TargetStats(),
    /** True if the platform may reclaim the target at any time. */
    public val reclaimable: Boolean = false,
    /** Cost per hour, in thousandths of the account's currency. */
    public val costPerHourMilli: Long = 0,
    /** True if the target is leaving; it gets no new requests. */
    public val leaving: Boolean = false,
    /** True if the target was ejected as an outlier; it gets requests only while all others are ejected as well. */
    public val ejected: Boolean = false,
    /** True if this instance has an open connection to the target, or if connections do not matter. */
    public val connected: Boolean = true,
) {
    internal val slots: Int get() = concurrency.coerceAtLeast(1)
}

/** Properties of a request that target selection uses. */
public data class RequestProfile(
    /** Number of tokens of the prompt; zero for plain calls. */
    public val promptTokens: Long = 0,
    /** Expected number of generated tokens; one for plain calls. */
    public val outputTokens: Long = 1,
    /** Hash of the prompt's prefix, equal for requests that start with the same prompt text; null without a prompt. */
    public val prefix: String? = null,
    /** Targets that probably hold the prefix in their cache. */
    public val cachedAt: Set<TargetId> = emptySet(),
    /** True if the request must not be lost with a reclaimed target; reclaimable targets are then the last resort. */
    public val avoidReclaimable: Boolean = false,
) {
    /** Work in units of one generated token, at least one; prompt tokens are much cheaper. */
    public val work: Long get() = (promptTokens / PROMPT_TOKENS_PER_UNIT + outputTokens).coerceAtLeast(1)

    /** Work on a target that caches the prefix, in units of one generated token, at least one. */
    public val cachedWork: Long get() = outputTokens.coerceAtLeast(1)

    /** Conversion of prompt tokens to work units. */
    public companion object {
        /** Number of prompt tokens that take an engine as long as one generated token. */
        public const val PROMPT_TOKENS_PER_UNIT: Long = 20
    }
}

/** Strategy that selects the target of an attempt. Implementations are thread-safe. */
public fun interface TargetSelector {
    /**
     * Returns the target for [request], or null if none of [candidates] is eligible.
     *
     * Never returns a leaving target or one of [excluded], which holds the targets already attempted. An ejected target
     * is returned only if all other eligible ones are ejected as well.
     */
    public fun select(
        candidates: List<TargetView>,
        request: RequestProfile,
        excluded: Set<TargetId>,
        now: Instant,
    ): TargetId?
}

/** Returns the candidates that are eligible for [request], in their original order. */
internal fun List<TargetView>.eligible(request: RequestProfile, excluded: Set<TargetId>): List<TargetView> {
    val open = filter { !it.leaving && it.id !in excluded }
    val healthy = open.filter { !it.ejected }.ifEmpty { open }
    return if (request.avoidReclaimable) healthy.filter { !it.reclaimable }.ifEmpty { healthy } else healthy
}
