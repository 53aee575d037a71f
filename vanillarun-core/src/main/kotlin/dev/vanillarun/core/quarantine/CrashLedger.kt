package dev.vanillarun.core.quarantine

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Limits for classifying a request as the cause of crashes. */
public data class QuarantineRules(
    /**
     * Crashes after which a request is refused: distinct targets, or crashes seen by one instance where a route has
     * fewer targets.
     */
    public val crashThreshold: Int = 3,
    /** Time after its last crash at which a request's crashes expire; a request is refused for that long. */
    public val retention: Duration = 10.minutes,
    /** Maximum number of tracked fingerprints. */
    public val capacity: Int = 10_000,
)

/** Restriction on where a request may run, by its crashes so far. */
public enum class QuarantineLevel {
    /** No crashes: no restriction. */
    NORMAL,

    /** The request was in flight when a target crashed: run it on a target without other suspects. */
    SEPARATED,

    /**
     * One more crash reaches the threshold: run the request on a target where this instance runs nothing else, so that
     * a crash can be attributed to it.
     */
    ISOLATED,

    /** The request crashes its targets: refuse it. */
    REFUSED,
}

/** Crashes during which one fingerprint was in flight. */
public data class SuspectedCrashes(
    /** Distinct targets that crashed while they ran the request. */
    public val targets: PersistentSet<TargetId>,
    /** Number of crashes that this instance observed itself, on any target. */
    public val local: Int = 0,
    /** Time of the last crash. */
    public val lastCrash: Instant,
) {
    /** Number of crashes that is compared with [QuarantineRules.crashThreshold]. */
    public val count: Int get() = maxOf(targets.size, local)
}

/**
 * Tracks the requests that may crash targets. Immutable.
 *
 * A crash makes every request in flight on the target a suspect. Suspects run on separate targets, and a run whose
 * crash would reach the threshold is isolated. A harmless request therefore completes and is cleared, while a poisonous
 * one is refused after [QuarantineRules.crashThreshold] crashes, however many harmless ones it shared a batch with.
 */
public data class CrashLedger(
    /** Limits that this ledger applies. */
    public val rules: QuarantineRules = QuarantineRules(),
    /** Crashes of suspects by fingerprint; may include expired entries. */
    public val suspectedCrashes: PersistentMap<Fingerprint, SuspectedCrashes> = persistentMapOf(),
) {
    /** Restriction that applies to a request with [fingerprint] at [now]. */
    public fun quarantineLevel(fingerprint: Fingerprint, now: Instant): QuarantineLevel {
        val crashes = crashes(fingerprint, now)
        return when {
            crashes == 0 -> QuarantineLevel.NORMAL
            crashes >= rules.crashThreshold -> QuarantineLevel.REFUSED
            crashes == rules.crashThreshold - 1 -> QuarantineLevel.ISOLATED
            else -> QuarantineLevel.SEPARATED
        }
    }

    /** Targets that crashed while running [fingerprint], to be excluded from further attempts; empty once expired. */
    public fun crashedTargets(fingerprint: Fingerprint, now: Instant): Set<TargetId> =
        current(fingerprint, now)?.targets ?: emptySet()

    /** Time until a refused request is accepted again; zero if it is not refused. */
    public fun refusedFor(fingerprint: Fingerprint, now: Instant): Duration {
        if (quarantineLevel(fingerprint, now) != QuarantineLevel.REFUSED) return Duration.ZERO
        return suspectedCrashes.getValue(fingerprint).lastCrash + rules.retention - now
    }

    /**
     * Records that [target] crashed at [now] while this instance had the requests [running] in flight on it. The caller
     * must report each of them to the peers and the log.
     */
    public fun crashed(target: TargetId, running: Set<Fingerprint>, now: Instant): CrashLedger =
        running.fold(this) { ledger, fingerprint -> ledger.withCrash(fingerprint, target, 1, now) }

    /** Records a report of a peer or the log that [target] crashed while it ran [fingerprint]. */
    public fun observed(fingerprint: Fingerprint, target: TargetId, now: Instant): CrashLedger =
        withCrash(fingerprint, target, 0, now)

    private fun withCrash(fingerprint: Fingerprint, target: TargetId, local: Int, now: Instant): CrashLedger {
        val known = current(fingerprint, now) ?: SuspectedCrashes(persistentSetOf(), lastCrash = now)
        val next = suspectedCrashes.put(
            fingerprint,
            SuspectedCrashes(known.targets.add(target), known.local + local, now),
        )
        return copy(suspectedCrashes = if (next.size > rules.capacity) next.evictOldest(now) else next)
    }

    /** Records that a run of [fingerprint] completed, which clears it unless it is already refused. */
    public fun completed(fingerprint: Fingerprint, now: Instant): CrashLedger {
        val cleared = fingerprint in suspectedCrashes && quarantineLevel(fingerprint, now) != QuarantineLevel.REFUSED
        return if (cleared) copy(suspectedCrashes = suspectedCrashes.remove(fingerprint)) else this
    }

    private fun crashes(fingerprint: Fingerprint, now: Instant): Int = current(fingerprint, now)?.count ?: 0

    private fun current(fingerprint: Fingerprint, now: Instant): SuspectedCrashes? =
        suspectedCrashes[fingerprint]?.takeIf { !it.isExpired(now) }

    private fun SuspectedCrashes.isExpired(now: Instant): Boolean = now - lastCrash >= rules.retention

    private fun PersistentMap<Fingerprint, SuspectedCrashes>.evictOldest(
        now: Instant,
    ): PersistentMap<Fingerprint, SuspectedCrashes> {
        val live = entries.filter { !it.value.isExpired(now) }.sortedByDescending { it.value.lastCrash }
        val kept = live.take(rules.capacity - rules.capacity / EVICTION_DIVISOR)
        return kept.fold(persistentMapOf()) { map, (key, value) -> map.put(key, value) }
    }

    private companion object {
        /** Fraction 1/n of the capacity that is freed when it is exceeded, so that evictions are rare. */
        const val EVICTION_DIVISOR = 10
    }
}
