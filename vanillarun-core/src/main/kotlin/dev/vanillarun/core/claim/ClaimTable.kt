package dev.vanillarun.core.claim

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.outcome.Execution
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** What became of the request that holds a key. */
public sealed interface ClaimProgress {
    /** It may be running, or its instance may have ended without a word. */
    public data class Running(
        /** Instance that claimed. */
        public val instance: InstanceId,
    ) : ClaimProgress

    /** It ended. */
    public data class Finished(
        /** Status that its caller was given. */
        public val status: Int,
        /** Whether it ran. */
        public val execution: Execution,
    ) : ClaimProgress
}

/** A claim that holds its key. */
public data class HeldClaim(
    /** Record of the claim. */
    public val id: RecordId,
    /** Its position. */
    public val offset: Offset,
    /** Fingerprint of the request. */
    public val fingerprint: RequestFingerprint,
    /** What became of it. */
    public val progress: ClaimProgress,
)

/** Claims of one key. */
public data class KeyClaims(
    /** The first claim in log order that was not given up. */
    public val holder: HeldClaim? = null,
    /** Claims that lost or were given up; further copies of them have no effect. */
    public val spent: PersistentSet<RecordId> = persistentSetOf(),
    /** Position of the key's newest record. */
    public val lastRecord: Offset = Offset.None,
)

/** What one claimant learns. */
public sealed interface ClaimDecision {
    /** The claim holds the key. */
    public data object Won : ClaimDecision

    /** Another claim of the same request holds the key. */
    public data class Lost(
        /** What became of that request. */
        public val progress: ClaimProgress,
    ) : ClaimDecision

    /** A claim of another request holds the key. */
    public data object Conflict : ClaimDecision

    /** The claim was given up, or lost against one that was given up since; the key may be claimed anew. */
    public data object Released : ClaimDecision

    /** The claim is not in the log. */
    public data object Absent : ClaimDecision
}

/** Claims of the keys that share a stream, as far as the log keeps them. */
public data class ClaimTable(
    /** Claims by key. */
    public val keys: PersistentMap<ClaimKey, KeyClaims> = persistentMapOf(),
) {
    /** What the claim [id] of [key] for the request [fingerprint] came to. */
    public fun decision(key: ClaimKey, fingerprint: RequestFingerprint, id: RecordId): ClaimDecision {
        val claims = keys[key] ?: return ClaimDecision.Absent
        val holder = claims.holder
        return when {
            holder?.id == id -> ClaimDecision.Won
            id !in claims.spent -> ClaimDecision.Absent
            holder == null -> ClaimDecision.Released
            holder.fingerprint != fingerprint -> ClaimDecision.Conflict
            else -> ClaimDecision.Lost(holder.progress)
        }
    }

    /** This table without keys whose records all lie before [firstRetained]. */
    public fun dropBefore(firstRetained: Offset): ClaimTable {
        val old = keys.filterValues { it.lastRecord < firstRetained }.keys
        return if (old.isEmpty()) this else copy(keys = keys.builder().apply { old.forEach(::remove) }.build())
    }
}
