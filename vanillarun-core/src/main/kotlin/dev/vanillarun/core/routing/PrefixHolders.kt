package dev.vanillarun.core.routing

import dev.vanillarun.core.admission.Affinity
import dev.vanillarun.core.id.TargetId

/**
 * Targets that an instance sent requests with a prompt prefix to, and that are therefore likely to hold it.
 *
 * Remembers the [limit] prefixes that were used last. Safe for use from several threads.
 */
public class PrefixHolders(private val limit: Int = DEFAULT_LIMIT) {
    private val holders = object : LinkedHashMap<String, Set<TargetId>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Set<TargetId>>): Boolean = size > limit
    }

    /** A request with [prefix] was sent to [target]. */
    @Synchronized
    public fun recordRequest(prefix: String, target: TargetId) {
        val known = holders[prefix].orEmpty()
        if (target !in known) holders[prefix] = known + target
    }

    /** Targets that are likely to hold [prefix]. */
    @Synchronized
    public fun of(prefix: String): Set<TargetId> = holders[prefix].orEmpty()

    private companion object {
        const val DEFAULT_LIMIT = 4_096
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}

/** How well this request fits the targets of [open], which have room. */
public fun RequestProfile.affinity(open: Set<TargetId>): Affinity = when {
    cachedAt.isEmpty() -> Affinity.NEUTRAL
    cachedAt.any { it in open } -> Affinity.CACHED
    else -> Affinity.ELSEWHERE
}
