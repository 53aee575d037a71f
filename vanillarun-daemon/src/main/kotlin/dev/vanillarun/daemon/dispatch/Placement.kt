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

/** Chooses the target of an attempt and marks the attempt as begun there. */
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
     * Begins an attempt at one of the targets of [route] that are not in [tried], or returns null if there is none.
     *
     * A request that is suspected of crashing targets waits for one where no other suspect runs, or where nothing runs.
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
                choose(route, known, closed + busy)?.let { alone(it, known, fingerprint) }?.let { return it }
            }
            if (busy.all { it in closed } && choose(route, known, closed) == null) return null
            delay(RECHECK)
        }
    }

    /** Chooses and begins in one step, so that requests which are placed at once do not all take the last place. */
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

    /** A target with room; a full one only if no other may take the request. */
    private fun choose(route: RouteName, profile: RequestProfile, closed: Set<TargetId>): TargetState? {
        val now = clock.now()
        val views = pool.views(route)
        val open = RouteRoom.of(views, now, shareOf(route)).open
        val full = views.filterNot { it.id in open }
        val reclaimable = views.filter { it.reclaimable }
        val safest = if (profile.avoidReclaimable) listOf(full + reclaimable, reclaimable) else emptyList()
        val passedOver = safest + listOf(full, full.filter { it.reclaimable }, emptyList())
        val chosen = passedOver.firstNotNullOfOrNull { passed ->
            selector.select(views, profile, closed + passed.map { it.id }, now)
        }
        return chosen?.let(pool::get)
    }

    private fun TargetState.isClosedTo(quarantineLevel: QuarantineLevel): Boolean = when {
        isReserved -> true
        quarantineLevel == QuarantineLevel.SEPARATED -> running.any { it.quarantineLevel != QuarantineLevel.NORMAL }
        else -> false
    }

    /** Keeps new attempts away from [state] until those in progress have ended, then begins. */
    private suspend fun alone(state: TargetState, profile: RequestProfile, print: Fingerprint): RunningAttempt? {
        if (!state.reserve()) return null
        var begun = false
        try {
            while (state.running.isNotEmpty()) delay(RECHECK)
            return state.begin(profile.work, print, QuarantineLevel.ISOLATED).also { begun = true }
        } finally {
            if (!begun) state.unreserve()
        }
    }

    private companion object {
        val RECHECK = 20.milliseconds
    }
}
