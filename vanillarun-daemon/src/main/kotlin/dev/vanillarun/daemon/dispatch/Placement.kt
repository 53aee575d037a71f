package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.quarantine.QuarantineLevel
import dev.vanillarun.core.routing.PrefixHolders
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.core.routing.RouteRoom
import dev.vanillarun.core.routing.RouteShare
import dev.vanillarun.core.routing.TargetSelector
import dev.vanillarun.core.time.MonotonicClock
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Selects the target of an attempt and registers the attempt there. */
public class Placement(
    private val pool: TargetPool,
    private val selector: TargetSelector,
    private val crashes: CrashMonitor,
    private val clock: MonotonicClock,
    private val prefixes: PrefixHolders,
    private val shareOf: (RouteName) -> RouteShare,
) {
    private val lock = Any()

    /**
     * Registers an attempt at one of the targets of [route] that are not in [tried]; null if no target is eligible.
     *
     * A request that is suspected of crashing targets waits for a target that runs no other suspect, or, if it has to
     * be isolated, for a target that runs nothing.
     */
    public suspend fun place(
        route: RouteName,
        profile: RequestProfile,
        fingerprint: Fingerprint,
        tried: Set<TargetId>,
    ): RunningAttempt? {
        val known = profile.prefix?.let { profile.copy(cachedAt = prefixes.of(it)) } ?: profile
        while (true) {
            val quarantineLevel = crashes.quarantineLevel(fingerprint)
            val closed = tried + crashes.crashedTargets(fingerprint)
            val busy = pool.of(route).filter { it.isClosedTo(quarantineLevel) }.map { it.id }
            if (quarantineLevel != QuarantineLevel.ISOLATED) {
                begin(route, known, fingerprint, quarantineLevel, closed + busy)?.let { return it }
            } else {
                choose(route, known, closed + busy)?.let { beginIsolated(it, known, fingerprint) }?.let { return it }
            }
            if (busy.all { it in closed } && choose(route, known, closed) == null) return null
            delay(RECHECK_INTERVAL)
        }
    }

    /** Selects and registers under a lock, so that concurrent requests do not all take the last free slot. */
    private fun begin(
        route: RouteName,
        profile: RequestProfile,
        fingerprint: Fingerprint,
        quarantineLevel: QuarantineLevel,
        closed: Set<TargetId>,
    ): RunningAttempt? = synchronized(lock) {
        val chosen = choose(route, profile, closed) ?: return@synchronized null
        profile.prefix?.let { prefixes.recordRequest(it, chosen.id) }
        chosen.begin(profile.work, fingerprint, quarantineLevel)
    }

    /** Prefers targets with free slots; selects a full one only if no other is eligible. */
    private fun choose(route: RouteName, profile: RequestProfile, closed: Set<TargetId>): TargetState? {
        val now = clock.now()
        val views = pool.views(route)
        val open = RouteRoom.of(views, now, shareOf(route)).open
        val full = views.filterNot { it.id in open }
        val reclaimable = views.filter { it.reclaimable }
        val avoidingReclaimable = if (profile.avoidReclaimable) listOf(full + reclaimable, reclaimable) else emptyList()
        val exclusions = avoidingReclaimable + listOf(full, full.filter { it.reclaimable }, emptyList())
        val chosen = exclusions.firstNotNullOfOrNull { excluded ->
            selector.select(views, profile, closed + excluded.map { it.id }, now)
        }
        return chosen?.let(pool::get)
    }

    private fun TargetState.isClosedTo(quarantineLevel: QuarantineLevel): Boolean = when {
        isReserved -> true
        quarantineLevel == QuarantineLevel.SEPARATED -> running.any { it.quarantineLevel != QuarantineLevel.NORMAL }
        else -> false
    }

    /** Reserves [state] against new attempts, waits until those in progress have ended, then registers the attempt. */
    private suspend fun beginIsolated(
        state: TargetState,
        profile: RequestProfile,
        fingerprint: Fingerprint,
    ): RunningAttempt? {
        if (!state.reserve()) return null
        var registered = false
        try {
            while (state.running.isNotEmpty()) delay(RECHECK_INTERVAL)
            return state.begin(profile.work, fingerprint, QuarantineLevel.ISOLATED).also { registered = true }
        } finally {
            if (!registered) state.unreserve()
        }
    }

    private companion object {
        val RECHECK_INTERVAL = 20.milliseconds
    }
}
