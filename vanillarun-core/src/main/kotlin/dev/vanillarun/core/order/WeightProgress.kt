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

/** The engines of all model routes. */
public fun RolloutConfig.engines(): List<Target> {
    val models = routes.filter { it.kind == RouteKind.MODEL }.mapTo(HashSet()) { it.name }
    return targets.filter { it.kind == TargetKind.ENGINE && it.routes.any(models::contains) }
}

/** What the holder of the duty knows of the weights of all engines. Immutable. */
public data class WeightProgress(
    /** Engines by identity. */
    public val replicas: PersistentMap<TargetId, WeightReplica> = persistentMapOf(),
) {
    /** Keeps what is known of [engines] and drops all others. */
    public fun withEngines(engines: List<Target>): WeightProgress = WeightProgress(
        engines.associate { engine ->
            val known = replicas[engine.id] ?: WeightReplica(engine.id, engine.dataCentre, emptySet(), version = null)
            engine.id to known.copy(dataCentre = engine.dataCentre, routes = engine.routes.toSet())
        }.toPersistentMap(),
    )

    /** An order is about to be sent to [target] at [now]. */
    public fun loadStarted(target: TargetId, now: Instant): WeightProgress = change(target) { it.copy(loadingSince = now) }

    /** [target] serves [version] after a load. */
    public fun loadCompleted(target: TargetId, version: WeightVersion): WeightProgress =
        change(target) { it.copy(version = version, loadingSince = null, failures = 0) }

    /** The load of [target] failed at [now]. */
    public fun loadFailed(target: TargetId, now: Instant): WeightProgress =
        change(target) { it.copy(loadingSince = null, failures = it.failures + 1, failedAt = now) }

    /** The order to [target] never left. */
    public fun orderWithheld(target: TargetId): WeightProgress = change(target) { it.copy(loadingSince = null) }

    /**
     * [target] was asked when [before] was known of it, and serves [version].
     *
     * One that serves what is [wanted] has loaded it, whatever became of the order's answer. Any other answer counts
     * only if nothing happened to the target since it was asked.
     */
    public fun versionObserved(before: WeightReplica, version: WeightVersion, wanted: WeightVersion?): WeightProgress = when {
        wanted != null && version >= wanted -> loadCompleted(before.target, version)
        replicas[before.target] == before -> change(before.target) { it.copy(version = version) }
        else -> this
    }

    /** Loads that take longer than [limits] allow count as failed. */
    public fun expire(limits: RolloutLimits, now: Instant): WeightProgress = replicas.values
        .filter { it.loadingSince != null && now - it.loadingSince >= limits.loadTimeout }
        .fold(this) { progress, replica -> progress.loadFailed(replica.target, now) }

    /** Engines that do not serve [version] yet, as far as is known. */
    public fun behind(version: WeightVersion): List<WeightReplica> =
        replicas.values.filter { it.version == null || it.version < version }

    private fun change(target: TargetId, change: (WeightReplica) -> WeightReplica): WeightProgress {
        val known = replicas[target] ?: return this
        return WeightProgress(replicas.put(target, change(known)))
    }
}
