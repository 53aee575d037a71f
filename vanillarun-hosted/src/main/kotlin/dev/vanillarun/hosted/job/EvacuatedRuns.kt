package dev.vanillarun.hosted.job

import dev.vanillarun.core.evacuation.Evacuations
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.hosted.catalog.ReplicaSource
import kotlinx.coroutines.flow.StateFlow

/** A run to be cancelled, so that its item goes on at [destination] after the events that it has received. */
internal class RunMove(val key: RunKey, val run: ActiveRun, val destination: TargetId)

/** Plans the moves of runs out of evacuated data centres. */
internal class EvacuatedRuns(
    private val evacuations: StateFlow<Evacuations>,
    private val replicas: ReplicaSource,
    private val engines: EngineSelector,
    private val clock: MonotonicClock,
) {
    /**
     * Returns moves of runs among [running], as many as engines elsewhere have free slots; [occupied] has the start
     * times of the runs at each engine. The latest runs go first, since the others may end by themselves.
     */
    fun moves(running: Map<RunKey, ActiveRun>, occupied: Map<TargetId, List<Instant>>): List<RunMove> {
        val evacuated = evacuations.value
        if (evacuated.dataCentres.isEmpty()) return emptyList()
        val taken = occupied.toMutableMap()
        return running.entries.sortedByDescending { it.value.since }.mapNotNull { (key, run) ->
            val engine = run.engine?.let { replicas.replicas.value[it] }
            val choice = engine?.takeIf {
                evacuated.isEvacuated(it.dataCentre)
            }?.let { engines.choose(run.task, taken) }
            (choice as? EngineChoice.Chosen)?.engine?.id?.let { id ->
                taken[id] = taken[id].orEmpty() + clock.now()
                RunMove(key, run, id)
            }
        }
    }
}
