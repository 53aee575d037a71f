package dev.vanillarun.core.routing

import dev.vanillarun.core.admission.Affinity
import dev.vanillarun.core.id.TargetId

/**
 * LRU cache of the targets that this instance sent requests with a prompt prefix to, and that probably hold it in their
 * prefix cache.
 *
 * Keeps the [limit] most recently used prefixes. Thread-safe.
 */
public class PrefixHolders(private val limit: Int = DEFAULT_LIMIT) {
    private val holders = object : LinkedHashMap<String, Set<TargetId>>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Set<TargetId>>): Boolean = size > limit
    }

    /** Records that a request with [prefix] was sent to [target]. */
    @Synchronized
    public fun recordRequest(prefix: String, target: TargetId) {
        val known = holders[prefix].orEmpty()
        if (target !in known) holders[prefix] = known + target
    }

    /** Targets that probably hold [prefix]; empty if it is unknown or was evicted. */
    @Synchronized
    public fun of(prefix: String): Set<TargetId> = holders[prefix].orEmpty()

    private companion object {
        const val DEFAULT_LIMIT = 4_096
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}

/** Returns whether a target that caches this request's prefix is among [open], the targets with room. */
public fun RequestProfile.affinity(open: Set<TargetId>): Affinity = when {
    cachedAt.isEmpty() -> Affinity.NEUTRAL
    cachedAt.any { it in open } -> Affinity.CACHED
    else -> Affinity.ELSEWHERE
}
