package dev.vanillarun.hosted.job

import dev.vanillarun.hosted.HeapMonitor
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.checkpoint.Checkpoints
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetTracker

/** Views of jobs, catalog, engines and slots that a [JobRunner] reads. */
internal class RunnerInputs(
    val board: JobBoard,
    val catalog: CatalogSource,
    val replicas: ReplicaSource,
    val placement: PlacementBoard,
    val slots: SlotMembership,
    val tracker: TargetTracker,
    val departures: DepartureBoard,
    val gates: TargetGates = TargetGates(),
    val ownership: JobOwnership = JobOwnership(catalog, slots),
    val checkpoints: Checkpoints? = null,
    val heap: HeapMonitor? = null,
    /** True if runs go on after the end of their job while their engines have nothing else to do. */
    val keepsRuns: () -> Boolean = tracker::reportsMachines,
)
