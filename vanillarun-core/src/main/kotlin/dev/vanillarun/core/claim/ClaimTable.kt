package dev.vanillarun.core.claim

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.outcome.Execution
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** Progress of the request whose claim holds a key. */
public sealed interface ClaimProgress {
    /** No outcome is recorded: the request may be running, or its instance may have crashed. */
    public data class Running(
        /** Instance that wrote the claim. */
        public val instance: InstanceId,
    ) : ClaimProgress

    /** An outcome is recorded. */
    public data class Finished(
        /** HTTP status that the caller got. */
        public val status: Int,
        /** Whether a target ran the request. */
        public val execution: Execution,
    ) : ClaimProgress
}

/** The claim that currently holds a key. */
public data class HeldClaim(
    /** Id of the claim record. */
    public val id: RecordId,
    /** Offset of the claim record in the log. */
    public val offset: Offset,
    /** Fingerprint of the claimed request. */
    public val fingerprint: RequestFingerprint,
    /** Progress of the claimed request. */
    public val progress: ClaimProgress,
)

/** All retained claims of one key. */
public data class KeyClaims(
    /** Claim that holds the key; null before the first claim and after a release. */
    public val holder: HeldClaim? = null,
    /** Claims that lost or were released; duplicates of their records have no effect. */
    public val inactive: PersistentSet<RecordId> = persistentSetOf(),
    /** Offset of the newest record of the key; the key is dropped once the log no longer retains it. */
    public val lastRecord: Offset = Offset.None,
)

/** Result of a claim, as its writer reads it back from the log. */
public sealed interface ClaimDecision {
    /** The claim holds the key: its request may run. */
    public data object Won : ClaimDecision

    /** Another claim with the same fingerprint holds the key. */
    public data class Lost(
        /** Progress of the request that holds the key. */
        public val progress: ClaimProgress,
    ) : ClaimDecision

    /** A claim with another fingerprint holds the key. */
    public data object Conflict : ClaimDecision

    /** The claim was released, or lost to a claim that has since been released; the key may be claimed again. */
    public data object Released : ClaimDecision

    /** The claim is not in the part of the log that was read. */
    public data object Absent : ClaimDecision
}

/** Retained claims of all keys that share a log stream. */
public data class ClaimTable(
    /** Claims of each key with retained records. */
    public val keys: PersistentMap<ClaimKey, KeyClaims> = persistentMapOf(),
) {
    /** Decision on the claim [id] of [key] for a request with [fingerprint]. */
    public fun decision(key: ClaimKey, fingerprint: RequestFingerprint, id: RecordId): ClaimDecision {
        val claims = keys[key] ?: return ClaimDecision.Absent
        val holder = claims.holder
        return when {
            holder?.id == id -> ClaimDecision.Won
            id !in claims.inactive -> ClaimDecision.Absent
            holder == null -> ClaimDecision.Released
            holder.fingerprint != fingerprint -> ClaimDecision.Conflict
            else -> ClaimDecision.Lost(holder.progress)
        }
    }

    /** This table without the keys whose newest record lies before [firstRetained]. */
    public fun dropBefore(firstRetained: Offset): ClaimTable {
        val expired = keys.filterValues { it.lastRecord < firstRetained }.keys
        return if (expired.isEmpty()) this else copy(keys = keys.builder().apply { expired.forEach(::remove) }.build())
    }
}
