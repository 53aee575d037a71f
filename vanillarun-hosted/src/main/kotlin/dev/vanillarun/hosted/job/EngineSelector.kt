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

/** Selects engines for samples. An engine with failures gets one run at a time until it responds again. */
internal class EngineSelector(
    private val replicas: ReplicaSource,
    private val tracker: TargetTracker,
    private val placement: PlacementBoard,
    private val departures: DepartureBoard,
) {
    /** Returns the engine for [task], or null if all are full; [running] is the number of runs at each engine. */
    fun choose(task: SampleTask, running: Map<TargetId, Int>): Replica? {
        val engines = enginesFor(task)
        val chosen = chooseEngine(engines.map { load(it, task, running) }) ?: return null
        return engines.first { it.id == chosen.id }
    }

    /** Returns an engine that is fast enough to move a run of [task] there from [engine], or null if there is none. */
    fun findFaster(task: SampleTask, engine: TargetId, running: Map<TargetId, Int>): TargetId? {
        val loads = enginesFor(task).map { load(it, task, running) }
        return loads.find { it.id == engine }?.let { fasterEngine(it, loads) }?.id
    }

    private fun enginesFor(task: SampleTask): List<Replica> {
        val model = task.job.model
        return task.route.services.flatMap { replicas.of(it.service) }
            .filter { model.isEmpty() || tracker.weights(it, model) >= task.job.minVersion }
            .filter(tracker::usable)
            .filterNot(departures::isDeparting)
    }

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
