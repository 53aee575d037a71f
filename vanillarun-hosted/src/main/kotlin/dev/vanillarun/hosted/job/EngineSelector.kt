package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.placement.EngineLoad
import dev.vanillarun.core.placement.chooseEngine
import dev.vanillarun.core.placement.fasterEngine
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetTracker

/** Result of [EngineSelector.choose]. */
internal sealed interface EngineChoice {
    /** The item should run at [engine]. */
    data class Chosen(val engine: Replica) : EngineChoice

    /** No engine can take the item now; [description] is for events. */
    enum class None(val description: String) : EngineChoice {
        NOT_LISTED("no engine is listed"),
        NO_WEIGHTS("no engine has the weights"),
        BACKED_OFF("all engines with the weights are backed off or leaving"),
        FULL("all engines are full"),
    }
}

/** Selects engines for samples. An engine with failures gets one run at a time until it responds again. */
internal class EngineSelector(
    private val replicas: ReplicaSource,
    private val tracker: TargetTracker,
    private val placement: PlacementBoard,
    private val departures: DepartureBoard,
) {
    /** Returns the engine for [task], or why there is none; [running] is the number of runs at each engine. */
    fun choose(task: SampleTask, running: Map<TargetId, Int>): EngineChoice {
        val listed = listed(task)
        val capable = listed.filter { isCapable(it, task) }
        val usable = capable.filter(::isUsable)
        val chosen = chooseEngine(usable.map { load(it, task, running) })
        return when {
            chosen != null -> EngineChoice.Chosen(usable.first { it.id == chosen.id })
            listed.isEmpty() -> EngineChoice.None.NOT_LISTED
            capable.isEmpty() -> EngineChoice.None.NO_WEIGHTS
            usable.isEmpty() -> EngineChoice.None.BACKED_OFF
            else -> EngineChoice.None.FULL
        }
    }

    /** Returns an engine that is fast enough to move a run of [task] there from [engine], or null if there is none. */
    fun findFaster(task: SampleTask, engine: TargetId, running: Map<TargetId, Int>): TargetId? {
        val engines = listed(task).filter { isCapable(it, task) && isUsable(it) }
        val loads = engines.map { load(it, task, running) }
        return loads.find { it.id == engine }?.let { fasterEngine(it, loads) }?.id
    }

    private fun listed(task: SampleTask): List<Replica> = task.route.services.flatMap { replicas.of(it.service) }

    private fun isCapable(engine: Replica, task: SampleTask): Boolean {
        val model = task.job.model
        return model.isEmpty() || tracker.weights(engine, model) >= task.job.minVersion
    }

    private fun isUsable(engine: Replica): Boolean = tracker.usable(engine) && !departures.isDeparting(engine)

    private fun load(engine: Replica, task: SampleTask, running: Map<TargetId, Int>): EngineLoad {
        val placed = placement.placement.value.enginesOf(task.job.model)
        val observations = tracker.of(engine)
        return EngineLoad(
            id = engine.id,
            slots = if (observations.failures > 0) 1 else engine.slots,
            running = running[engine.id] ?: 0,
            pace = observations.meanLatency,
            placed = placed.isEmpty() || engine.id in placed,
        )
    }
}
