package dev.vanillarun.core.placement

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId

/** Assignment of a model to each engine. Weights of other models on an engine are not updated. */
public data class ModelPlacement(
    /** Assigned model by engine; engines that are not listed have none. */
    public val models: Map<TargetId, String> = emptyMap(),
) {
    /** Returns the engines that [model] is assigned to. */
    public fun enginesOf(model: String): Set<TargetId> = models.filterValues { it == model }.keys
}

/**
 * Computes the placement of [models] on [engines], starting from [previous].
 *
 * Each weight load costs engine time once for each version, so an engine loads the weights of one model only, and the
 * engines are divided evenly among the models. Engines keep their model while the numbers differ by at most one. The
 * engines of a model are spread over the data centres, so that it keeps some when a data centre is lost. Engines that
 * are leaving get no model.
 */
public fun placeModels(models: List<String>, engines: List<Replica>, previous: ModelPlacement): ModelPlacement {
    if (models.isEmpty()) return ModelPlacement()
    val available = engines.filter { !it.leaving }.sortedBy { it.id.value }
    val kept = available.mapNotNull { engine ->
        previous.models[engine.id]?.takeIf(models::contains)?.let { engine.id to it }
    }
    val placed = kept.toMap(LinkedHashMap())
    val byId = available.associateBy { it.id }
    available.filter { it.id !in placed }.forEach { placed[it.id] = bestModel(models, it, placed, byId) }
    while (true) {
        val counts = models.associateWith { model -> placed.values.count { it == model } }
        val most = counts.maxBy { it.value }
        val least = counts.minBy { it.value }
        if (most.value - least.value < MIN_IMBALANCE) return ModelPlacement(placed)
        placed[engineToReassign(most.key, placed, byId)] = least.key
    }
}

/**
 * Returns the model with the fewest engines in the data centre of [engine]. Ties go to the model with the fewest
 * engines in total, then to the one with the newest weights on [engine].
 */
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

/** Returns the engine to take from [model]: one in the data centre where the model has the most engines. */
private fun engineToReassign(model: String, placed: Map<TargetId, String>, byId: Map<TargetId, Replica>): TargetId {
    val of = placed.filterValues { it == model }.keys
    val countByDataCentre = of.groupingBy { byId.getValue(it).dataCentre }.eachCount()
    return of.maxWith(compareBy({ countByDataCentre.getValue(byId.getValue(it).dataCentre) }, { it.value }))
}

/** Difference in engine counts of two models from which an engine is reassigned. */
private const val MIN_IMBALANCE = 2
