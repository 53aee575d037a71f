package dev.vanillarun.core.placement

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId

/** Which model each engine serves. Every other model on an engine is left at whatever version it has. */
public data class ModelPlacement(
    /** Model by engine. */
    public val models: Map<TargetId, String> = emptyMap(),
) {
    /** Engines of [model]. */
    public fun enginesOf(model: String): Set<TargetId> = models.filterValues { it == model }.keys
}

/**
 * The placement of [models] on [engines] that follows [previous].
 *
 * A load of weights costs an engine's time once for each version, so each engine follows one model, and models share
 * the engines alike. Engines keep their model while the shares differ by one at most; a model's engines are spread
 * over data centres, so that the loss of one leaves it some.
 */
public fun placeModels(models: List<String>, engines: List<Replica>, previous: ModelPlacement): ModelPlacement {
    if (models.isEmpty()) return ModelPlacement()
    val known = engines.filter { !it.leaving }.sortedBy { it.id.value }
    val kept = known.mapNotNull { engine ->
        previous.models[engine.id]?.takeIf(models::contains)?.let { engine.id to it }
    }
    val placed = kept.toMap(LinkedHashMap())
    val byId = known.associateBy { it.id }
    known.filter { it.id !in placed }.forEach { placed[it.id] = bestModel(models, it, placed, byId) }
    while (true) {
        val counts = models.associateWith { model -> placed.values.count { it == model } }
        val most = counts.maxBy { it.value }
        val least = counts.minBy { it.value }
        if (most.value - least.value < IMBALANCE) return ModelPlacement(placed)
        placed[movable(most.key, placed, byId)] = least.key
    }
}

/** Model with the fewest engines in the engine's data centre; among those the one with the fewest in all. */
private fun bestModel(
    models: List<String>,
    engine: Replica,
    placed: Map<TargetId, String>,
    byId: Map<TargetId, Replica>,
): String = models.minWith(
    compareBy(
        { model -> placed.count { (id, of) -> of == model && byId.getValue(id).dataCentre == engine.dataCentre } },
        { model -> placed.values.count { it == model } },
        { model -> -(engine.weights[model]?.number ?: 0) },
        { model -> model },
    ),
)

/** The engine that [model] misses least: one of the data centre where it has most. */
private fun movable(model: String, placed: Map<TargetId, String>, byId: Map<TargetId, Replica>): TargetId {
    val of = placed.filterValues { it == model }.keys
    val crowd = of.groupingBy { byId.getValue(it).dataCentre }.eachCount()
    return of.maxWith(compareBy({ crowd.getValue(byId.getValue(it).dataCentre) }, { it.value }))
}

/** Difference between the shares of two models from which on an engine changes its model. */
private const val IMBALANCE = 2
