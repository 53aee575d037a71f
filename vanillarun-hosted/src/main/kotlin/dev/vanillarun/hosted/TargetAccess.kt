package dev.vanillarun.hosted

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.admin.TargetStatus
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.evacuation.EvacuationGate
import dev.vanillarun.hosted.evacuation.registerEvacuations
import dev.vanillarun.hosted.live.ReplicaChooser
import dev.vanillarun.hosted.pace.ColdGrant
import dev.vanillarun.hosted.pace.PaceGate
import dev.vanillarun.hosted.pace.TargetOwnership
import dev.vanillarun.hosted.pace.registerPace
import dev.vanillarun.hosted.region.RegionGate
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.StrayAnswers
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import dev.vanillarun.hosted.target.registerTargets
import kotlin.time.Duration.Companion.milliseconds

/** The components through which every request of this instance reaches a target, and the conditions that it passes. */
internal class TargetAccess(
    settings: HostedSettings,
    ports: HostedPorts,
    private val catalog: CatalogSource,
    private val replicas: ReplicaSource,
    private val tracker: TargetTracker,
    ownership: TargetOwnership,
    clock: MonotonicClock,
    wallClock: () -> Long,
    events: EventRecorder,
) {
    /** Targets that announced their departure. */
    val departures = DepartureBoard(replicas, settings.hosting.drainMs.milliseconds, clock, wallClock, events)
    private val strays = StrayAnswers(events)
    private val evacuations = EvacuationGate(catalog.evacuations, replicas, clock)
    private val pace = PaceGate(
        service = { catalog.catalog.value?.services?.get(it) },
        listing = replicas,
        ownership = ownership,
        grant = ColdGrant(settings.hosting.coldOver, settings.hosting.coldSlack),
        clock = clock,
        wallClock = wallClock,
        events = events,
        isReopened = evacuations::recentlyReopened,
    )

    /** Conditions of each request; the pace counts what passes it, so it comes last. */
    val gates = TargetGates(listOf(evacuations, RegionGate(settings.regionOf), pace), clock)

    /** Sends requests to targets. */
    val gateway = TargetGateway(ports.client, ports.targets, tracker, departures, strays, gates)

    /** Chooses the targets of plain services. */
    val chooser = ReplicaChooser(
        departures = departures,
        tracker = tracker,
        isWarm = gateway::isWarm,
        local = DataCentre(settings.dataCentre),
        clock = clock,
        gates = gates,
    )

    init {
        ports.client.onStrayAnswer(strays)
    }

    /** Registers the metrics of all of them. */
    fun register(metrics: DaemonMetrics) {
        metrics.registerEvacuations(catalog.evacuations)
        metrics.registerTargets(departures, strays, gateway)
        metrics.registerPace(pace)
    }

    /** State of all listed targets, as this instance sees them. */
    fun status(): List<TargetStatus> = replicas.replicas.value.values.map {
        TargetStatus(
            target = it.id.value,
            inFlight = tracker.of(it).running,
            ejected = !tracker.usable(it),
            leaving = it.leaving || departures.isDeparting(it),
            departureSeenBy = departures.departureOf(it)?.label,
        )
    }

    /** Forgets what is known of targets that have not been in [present] for long. */
    fun retain(present: Collection<Replica>) {
        departures.retain(present)
        pace.retain(present)
    }
}
