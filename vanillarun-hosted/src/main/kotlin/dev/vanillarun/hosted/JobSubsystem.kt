package dev.vanillarun.hosted

import dev.vanillarun.core.checkpoint.RunnerId
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.checkpoint.Checkpoints
import dev.vanillarun.hosted.checkpoint.ProgressRecovery
import dev.vanillarun.hosted.checkpoint.ProgressSaver
import dev.vanillarun.hosted.checkpoint.ProgressTopics
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.job.JobBoard
import dev.vanillarun.hosted.job.JobOwnership
import dev.vanillarun.hosted.job.JobRunner
import dev.vanillarun.hosted.job.RegionalSlots
import dev.vanillarun.hosted.job.RewardCaller
import dev.vanillarun.hosted.job.RunnerInputs
import dev.vanillarun.hosted.job.SampleRunner
import dev.vanillarun.hosted.job.SlotMembership
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.store.ReadPace
import dev.vanillarun.hosted.target.TargetTracker

/** Views that the runner of jobs reads. */
internal class JobInputs(
    val board: JobBoard,
    val catalog: CatalogSource,
    val replicas: ReplicaSource,
    val placement: PlacementBoard,
    val tracker: TargetTracker,
)

/** The components by which an instance runs batch jobs: its slots, the runner, and the saved texts of items. */
internal class JobSubsystem(
    settings: HostedSettings,
    ports: HostedPorts,
    private val views: JobInputs,
    targets: TargetAccess,
    live: LiveForwarder,
    heap: HeapMonitor,
    writer: String,
    clock: MonotonicClock,
    wallClock: () -> Long,
    events: EventRecorder,
) {
    /** Appends submissions and results. */
    val appender = DurableAppender(ports.store, JobBoard.Topic, writer, events)
    private val textAppender = DurableAppender(ports.store, ProgressTopics.Texts, writer, events)
    private val beatAppender = DurableAppender(ports.store, ProgressTopics.Runners, writer, events)

    /** All appenders, each of which has to run. */
    val appenders: List<DurableAppender> = listOf(appender, textAppender, beatAppender)

    /** Slots among all instances. */
    val slots = SlotMembership(ports.store, settings.instance, events, clock)
    private val regions = settings.regionOf

    /** Slots among the instances of this region; null if the platform names none. */
    val regional: RegionalSlots? = regions[DataCentre(settings.dataCentre)]?.let { region ->
        val membership = SlotMembership(ports.store, settings.instance, events, clock, region) {
            views.catalog.catalog.value?.limitsRegions ?: false
        }
        RegionalSlots(region, membership)
    }

    private val progress = ProgressTopics(ports.store)
    private val self = RunnerId(settings.instance, wallClock())

    /** Saved texts of items in progress. */
    val checkpoints = Checkpoints(
        saver = ProgressSaver(
            texts = textAppender,
            beats = beatAppender,
            topics = progress,
            self = self,
            isEnabled = views.tracker::reportsMachines,
            clock = clock,
            wallClock = wallClock,
        ),
        recovery = ProgressRecovery(progress, self, clock, wallClock, events),
    )

    /** Calls that score samples. */
    val rewards = RewardCaller(views.catalog, live, clock, events)

    /** Runs the items of the jobs of this instance. */
    val runner = JobRunner(
        inputs = RunnerInputs(
            board = views.board,
            catalog = views.catalog,
            replicas = views.replicas,
            placement = views.placement,
            slots = slots,
            tracker = views.tracker,
            departures = targets.departures,
            gates = targets.gates,
            ownership = JobOwnership(views.catalog, slots, regional, regions.values.toSet()),
            checkpoints = checkpoints,
            heap = heap,
        ),
        samples = SampleRunner(targets.gateway, ports.targets, views.tracker, clock),
        rewards = rewards,
        appender = appender,
        writer = writer,
        clock = clock,
        wallClock = wallClock,
        events = events,
    )

    /** How often this instance has to read the jobs; more often if it [holdsDuty], since it times loads by them. */
    fun boardPace(holdsDuty: Boolean): ReadPace = when {
        runner.isBusy -> JobBoard.RunnerPace
        holdsDuty || ownsSlots || views.board.isRead -> JobBoard.ReaderPace
        else -> JobBoard.IdlePace
    }

    private val ownsSlots: Boolean
        get() = listOfNotNull(slots, regional?.slots).any { it.grant.value.slots.isNotEmpty() }
}
