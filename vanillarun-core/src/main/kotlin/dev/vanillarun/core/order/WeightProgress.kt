package dev.vanillarun.core.order

import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.config.TargetKind
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.time.Instant
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** Engines that serve at least one model route of this configuration. */
public fun RolloutConfig.engines(): List<Target> {
    val models = routes.filter { it.kind == RouteKind.MODEL }.mapTo(HashSet()) { it.name }
    return targets.filter { it.kind == TargetKind.ENGINE && it.routes.any(models::contains) }
}

/** State of the weights on all engines, as known to the holder of the weight duty. Immutable. */
public data class WeightProgress(
    /** State of each engine's weights, by target id. */
    public val replicas: PersistentMap<TargetId, WeightReplica> = persistentMapOf(),
) {
    /**
     * Returns the progress restricted to [engines], with their current data centres and routes. Known engines keep
     * their load state, new ones start with an unknown version.
     */
    public fun withEngines(engines: List<Target>): WeightProgress = WeightProgress(
        engines.associate { engine ->
            val known = replicas[engine.id] ?: WeightReplica(engine.id, engine.dataCentre, emptySet(), version = null)
            engine.id to known.copy(dataCentre = engine.dataCentre, routes = engine.routes.toSet())
        }.toPersistentMap(),
    )

    /** Marks [target] as loading from [now] on; called before the order is sent. */
    public fun loadStarted(target: TargetId, now: Instant): WeightProgress =
        updateReplica(target) { it.copy(loadingSince = now) }

    /** Records that [target] serves [version] after a load, and resets its failure count. */
    public fun loadCompleted(target: TargetId, version: WeightVersion): WeightProgress =
        updateReplica(target) { it.copy(version = version, loadingSince = null, failures = 0) }

    /** Records that the load on [target] failed at [now]. */
    public fun loadFailed(target: TargetId, now: Instant): WeightProgress =
        updateReplica(target) { it.copy(loadingSince = null, failures = it.failures + 1, failedAt = now) }

    /** Ends the load on [target] because its order was withheld by the guard and never sent. */
    public fun orderWithheld(target: TargetId): WeightProgress = updateReplica(target) { it.copy(loadingSince = null) }

    /**
     * Records that a target reported [version]; [before] is its state at the time of the query.
     *
     * A target that serves [wanted] or newer has completed the load, even if the response to the order was lost. Any
     * other version is recorded only if the target's state has not changed since the query.
     */
    public fun versionObserved(before: WeightReplica, version: WeightVersion, wanted: WeightVersion?): WeightProgress =
        when {
            wanted != null && version >= wanted -> loadCompleted(before.target, version)
            replicas[before.target] == before -> updateReplica(before.target) { it.copy(version = version) }
            else -> this
        }

    /** Marks loads that exceed the load timeout of [limits] at [now] as failed. */
    public fun expire(limits: RolloutLimits, now: Instant): WeightProgress = replicas.values
        .filter { it.loadingSince != null && now - it.loadingSince >= limits.loadTimeout }
        .fold(this) { progress, replica -> progress.loadFailed(replica.target, now) }

    /** Engines whose version is unknown or older than [version]. */
    public fun behind(version: WeightVersion): List<WeightReplica> =
        replicas.values.filter { it.version == null || it.version < version }

    private fun updateReplica(target: TargetId, transform: (WeightReplica) -> WeightReplica): WeightProgress {
        val known = replicas[target] ?: return this
        return WeightProgress(replicas.put(target, transform(known)))
    }
}
