package dev.vanillarun.core.log

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Bounded set of the last [capacity] record identities, to deduplicate records that were appended more than once.
 * Immutable.
 *
 * ```
 * val seen = SeenRecords(capacity = 2) + first
 * first in seen // true
 * ```
 */
public data class SeenRecords(
    /** Maximum number of identities in the set. */
    public val capacity: Int,
    private val ids: PersistentMap<RecordId, Unit> = persistentMapOf(),
) {
    /** Current number of identities in the set. */
    public val size: Int get() = ids.size

    /** True if [id] is in the set. */
    public operator fun contains(id: RecordId): Boolean = ids.containsKey(id)

    /** Adds [id] and evicts the oldest identity if the set is full. */
    public operator fun plus(id: RecordId): SeenRecords {
        if (id in this) return this
        val kept = if (ids.size < capacity) ids else ids.remove(ids.keys.first())
        return copy(ids = kept.put(id, Unit))
    }
}
