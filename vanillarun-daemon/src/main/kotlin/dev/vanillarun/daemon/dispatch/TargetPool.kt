package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.health.EjectionCap
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.routing.TargetView
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.config.ActiveConfig

/** The targets of the active configuration, with the state that this instance observed of each. */
public class TargetPool(private val clock: MonotonicClock, private val cap: EjectionCap = EjectionCap()) {
    private class Snapshot(val byId: Map<TargetId, TargetState>, val byRoute: Map<RouteName, List<TargetState>>)

    @Volatile
    private var snapshot = Snapshot(emptyMap(), emptyMap())

    @Volatile
    private var leaving: Set<TargetId> = emptySet()

    @Volatile
    private var evacuated: Set<DataCentre> = emptySet()

    /** Replaces the targets by those of [config]. The state of a target is kept if its address is unchanged. */
    @Synchronized
    public fun update(config: ActiveConfig) {
        val known = snapshot.byId
        val byId = config.config.targets.associate { target ->
            val kept = known[target.id]?.takeIf { it.target.address == target.address }
            target.id to (kept ?: TargetState(target, clock)).also { it.target = target }
        }
        val byRoute = config.config.routes.associate { route ->
            route.name to byId.values.filter { route.name in it.target.routes }
        }
        snapshot = Snapshot(byId, byRoute)
        evacuated = config.config.evacuated.toSet()
        markLeaving(leaving)
    }

    /** Marks exactly [targets] as leaving, besides those in evacuated data centres; also those that [update] adds. */
    @Synchronized
    public fun markLeaving(targets: Set<TargetId>) {
        leaving = targets
        snapshot.byId.values.forEach { it.leaving = it.id in targets || it.target.dataCentre in evacuated }
    }

    /** All targets of the active configuration. */
    public fun all(): Collection<TargetState> = snapshot.byId.values

    /** The target with identity [id]; null if the configuration has none. */
    public operator fun get(id: TargetId): TargetState? = snapshot.byId[id]

    /** Targets that serve [route]; empty if the route is unknown. */
    public fun of(route: RouteName): List<TargetState> = snapshot.byRoute[route].orEmpty()

    /** Snapshots of the targets of [route] for target selection, with the cap on ejections applied. */
    public fun views(route: RouteName): List<TargetView> {
        val states = of(route)
        val now = clock.now()
        val anyEjected = states.any { it.health.isEjected(now) }
        val ejected = if (anyEjected) cap.ejected(states.associate { it.id to it.health }, now) else emptySet()
        return states.map { it.view(ejected = it.id in ejected) }
    }
}
