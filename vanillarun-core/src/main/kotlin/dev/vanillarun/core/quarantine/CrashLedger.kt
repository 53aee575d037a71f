package dev.vanillarun.core.quarantine

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** When a request is held to be the cause of crashes. */
public data class QuarantineRules(
    /** Distinct targets that a request must have crashed, or crashes at one instance where a route has fewer. */
    public val crashes: Int = 3,
    /** How long a crash counts, and so how long a request is refused after its last one. */
    public val memory: Duration = 10.minutes,
    /** Fingerprints that are remembered at most. */
    public val capacity: Int = 10_000,
)

/** How a request may be run. */
public enum class QuarantineLevel {
    /** Like any other. */
    NORMAL,

    /** It was running when a target crashed: run it where no other suspect runs. */
    SEPARATED,

    /** One more crash condemns it: run it where nothing else of this instance runs, so that the crash is its own. */
    ISOLATED,

    /** Refuse it: it crashes the targets that run it. */
    REFUSED,
}

/** Crashes in which one fingerprint is the suspect. */
public data class SuspectedCrashes(
    /** Distinct targets that crashed while they ran it. */
    public val targets: PersistentSet<TargetId>,
    /** Crashes that this instance saw itself, on whatever targets. */
    public val own: Int = 0,
    /** Time of the last crash. */
    public val lastCrash: Instant,
) {
    /** Crashes that count. */
    public val crashes: Int get() = maxOf(targets.size, own)
}

/**
 * Which requests crash targets. Immutable.
 *
 * A crash makes every request of the batch a suspect. Suspects run apart from each other, and the run that could
 * condemn one runs alone; so an innocent request completes and is cleared, while a poisonous one is refused after as
 * many crashes as the rules name, however many innocent ones it ran beside.
 */
public data class CrashLedger(
    /** Rules. */
    public val rules: QuarantineRules = QuarantineRules(),
    /** Suspicions by fingerprint. */
    public val suspectedCrashes: PersistentMap<Fingerprint, SuspectedCrashes> = persistentMapOf(),
) {
    /** How a request with [fingerprint] may be run at [now]. */
    public fun quarantineLevel(fingerprint: Fingerprint, now: Instant): QuarantineLevel {
        val crashes = crashes(fingerprint, now)
        return when {
            crashes == 0 -> QuarantineLevel.NORMAL
            crashes >= rules.crashes -> QuarantineLevel.REFUSED
            crashes == rules.crashes - 1 -> QuarantineLevel.ISOLATED
            else -> QuarantineLevel.SEPARATED
        }
    }

    /** Targets that [fingerprint] is held to have crashed: it is not sent there again. */
    public fun crashedTargets(fingerprint: Fingerprint, now: Instant): Set<TargetId> =
        current(fingerprint, now)?.targets ?: emptySet()

    /** Time until a refused request is tried again; zero if it is not refused. */
    public fun refusedFor(fingerprint: Fingerprint, now: Instant): Duration {
        if (quarantineLevel(fingerprint, now) != QuarantineLevel.REFUSED) return Duration.ZERO
        return suspectedCrashes.getValue(fingerprint).lastCrash + rules.memory - now
    }

    /**
     * [target] crashed at [now] while this instance had the requests [running] in progress there. The peers and the log
     * are to be told of each of them.
     */
    public fun crashed(target: TargetId, running: Set<Fingerprint>, now: Instant): CrashLedger =
        running.fold(this) { ledger, print -> ledger.noted(print, target, 1, now) }

    /** A peer or the log tells that [target] crashed while it ran [fingerprint]. */
    public fun observed(fingerprint: Fingerprint, target: TargetId, now: Instant): CrashLedger =
        noted(fingerprint, target, 0, now)

    private fun noted(fingerprint: Fingerprint, target: TargetId, own: Int, now: Instant): CrashLedger {
        val known = current(fingerprint, now) ?: SuspectedCrashes(persistentSetOf(), lastCrash = now)
        val next = suspectedCrashes.put(fingerprint, SuspectedCrashes(known.targets.add(target), known.own + own, now))
        return copy(suspectedCrashes = if (next.size > rules.capacity) next.trimmed(now) else next)
    }

    /** A run of [fingerprint] completed at a target: it is no cause of crashes, unless it is refused already. */
    public fun completed(fingerprint: Fingerprint, now: Instant): CrashLedger {
        val innocent = fingerprint in suspectedCrashes && quarantineLevel(fingerprint, now) != QuarantineLevel.REFUSED
        return if (innocent) copy(suspectedCrashes = suspectedCrashes.remove(fingerprint)) else this
    }

    private fun crashes(fingerprint: Fingerprint, now: Instant): Int = current(fingerprint, now)?.crashes ?: 0

    private fun current(fingerprint: Fingerprint, now: Instant): SuspectedCrashes? =
        suspectedCrashes[fingerprint]?.takeIf { !it.isOver(now) }

    private fun SuspectedCrashes.isOver(now: Instant): Boolean = now - lastCrash >= rules.memory

    private fun PersistentMap<Fingerprint, SuspectedCrashes>.trimmed(now: Instant): PersistentMap<Fingerprint, SuspectedCrashes> {
        val live = entries.filter { !it.value.isOver(now) }.sortedByDescending { it.value.lastCrash }
        val kept = live.take(rules.capacity - rules.capacity / TRIM_PARTS)
        return kept.fold(persistentMapOf()) { map, (key, value) -> map.put(key, value) }
    }

    private companion object {
        /** One part of this many is freed at a time, so that trimming is rare. */
        const val TRIM_PARTS = 10
    }
}
