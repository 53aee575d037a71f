package dev.vanillarun.hosted

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.lease.LeaseTiming
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.record
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.HttpServer
import dev.vanillarun.daemon.admin.AdminServer
import dev.vanillarun.daemon.admin.HeldDuty
import dev.vanillarun.daemon.admin.InstanceStatus
import dev.vanillarun.daemon.agreement.DutyRunner
import dev.vanillarun.daemon.agreement.LogAppender
import dev.vanillarun.daemon.agreement.LogFollower
import dev.vanillarun.daemon.caller.Connections
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.daemon.metrics.registerFaults
import dev.vanillarun.daemon.metrics.registerProcessorTime
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.checkpoint.registerCheckpoints
import dev.vanillarun.hosted.duty.ControlDuty
import dev.vanillarun.hosted.duty.ControlInputs
import dev.vanillarun.hosted.duty.FleetSizer
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.duty.UsageBoard
import dev.vanillarun.hosted.duty.UsageMeter
import dev.vanillarun.hosted.duty.UsageReporter
import dev.vanillarun.hosted.duty.WeightLoader
import dev.vanillarun.hosted.front.CallAdmission
import dev.vanillarun.hosted.front.CallCounter
import dev.vanillarun.hosted.front.CallerDrain
import dev.vanillarun.hosted.front.DrainReport
import dev.vanillarun.hosted.front.FrontServer
import dev.vanillarun.hosted.front.JobEndpoint
import dev.vanillarun.hosted.job.JobBoard
import dev.vanillarun.hosted.job.registerRoom
import dev.vanillarun.hosted.job.registerTexts
import dev.vanillarun.hosted.live.CrashBoard
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.live.StreamForwarder
import dev.vanillarun.hosted.pace.SlotOwnership
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.store.TopicPlatformLog
import dev.vanillarun.hosted.store.storeBackoff
import dev.vanillarun.hosted.target.TargetTracker
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One instance on a hosting platform: creates its components from [settings] and [ports] and runs them in [scope].
 *
 * [incarnation] must differ between runs, as it is part of the producer id under which the store deduplicates appends.
 */
public class HostedDaemon(
    private val settings: HostedSettings,
    private val ports: HostedPorts,
    private val incarnation: Incarnation,
    private val scope: CoroutineScope,
    private val events: EventRecorder,
    private val wallClock: () -> Long = System::currentTimeMillis,
) {
    private val clock = SuspendAwareClock(wallMillis = wallClock)
    private val self = InstanceId(settings.instance)
    private val writer = "${settings.instance}.${incarnation.value}"
    private val metrics = DaemonMetrics()
    private val callCounter = CallCounter(metrics)
    private val admission = CallAdmission()
    private val heap = HeapMonitor(clock, events)
    private val supervisor = ComponentSupervisor(scope, events, metrics, heap)

    private val regions = settings.regionOf.values.toSet()
    private val catalog = CatalogSource(ports.store, ports.codec, clock, events, regions)
    private val replicas = ReplicaSource(ports.store, ports.codec, clock, events)
    private val board: JobBoard = JobBoard(ports.store, clock, events) { jobs.boardPace(duty.heldTerm != null) }
    private val usageBoard: UsageBoard = UsageBoard(ports.store, clock, events, reporting = { duty.heldTerm != null })

    private val usageAppender = DurableAppender(ports.store, UsageBoard.Topic, writer, events)
    private val crashAppender = DurableAppender(ports.store, CrashBoard.Topic, writer, events)
    private val placementAppender = DurableAppender(ports.store, PlacementBoard.Topic, writer, events)

    private val tracker = TargetTracker(clock)
    private val placement = PlacementBoard(ports.store, tracker, clock, events)
    private val targets = TargetAccess(
        settings = settings,
        ports = ports,
        catalog = catalog,
        replicas = replicas,
        tracker = tracker,
        ownership = SlotOwnership({ jobs.slots }, { placement.placement.value.models[it.id] }),
        clock = clock,
        wallClock = wallClock,
        events = events,
    )
    private val crashes = CrashBoard(ports.store, crashAppender, scope, clock, events)
    private val live = LiveForwarder(targets.chooser, targets.gateway, tracker, crashes, clock, events)
    private val streams =
        StreamForwarder(targets.chooser, targets.gateway, ports.targets, tracker, crashes, clock, events)
    private val usageWindow = settings.hosting.usageWindowS.seconds
    private val usageMeter = UsageMeter(usageAppender, usageWindow, clock, wallClock)
    private val leaseLog = TopicPlatformLog(ports.store, LeaseTopic, StreamName.Duty)
    private val leaseAppender = LogAppender(leaseLog, clock)
    private val leases =
        LogFollower(
            leaseLog,
            setOf(StreamName.Duty),
            LeaseReducer,
            clock = clock,
            backoff = storeBackoff(),
            wait = LEASE_LONG_POLL,
        )
    private val quietPeriod = settings.hosting.leaseMs.milliseconds
    private val duty = ControlDuty(
        runner = DutyRunner(
            duty = DutyName("control"),
            follower = leases,
            appender = leaseAppender,
            writer = RecordWriter(self, incarnation),
            timing = LeaseTiming(term = quietPeriod * LEASE_TERM_FRACTION, maxEffectDelay = LATE_EFFECT_TIME),
            clock = clock,
            events = events,
        ),
        quietPeriod = quietPeriod,
        clock = clock,
    )

    private val jobs: JobSubsystem = JobSubsystem(
        settings = settings,
        ports = ports,
        views = JobInputs(board, catalog, replicas, placement, tracker),
        targets = targets,
        live = live,
        heap = heap,
        writer = writer,
        clock = clock,
        wallClock = wallClock,
        events = events,
    )
    private val controlInputs =
        ControlInputs(catalog, replicas, placement, board, tracker, targets.departures, targets.gates)
    private val weightLoader = WeightLoader(
        duty = duty,
        calls = ports.calls,
        inputs = controlInputs,
        placements = placementAppender,
        self = self,
        clock = clock,
        events = events,
    )
    private val fleetSizer = FleetSizer(
        duty = duty,
        calls = ports.calls,
        inputs = controlInputs,
        self = self,
        clock = clock,
        events = events,
    )
    private val usageReporter = UsageReporter(
        duty = duty,
        calls = ports.calls,
        board = usageBoard,
        appender = usageAppender,
        self = self,
        window = usageWindow,
        clock = clock,
        wallClock = wallClock,
        events = events,
    )
    private val frontServer = FrontServer(
        dialect = ports.callers,
        catalog = catalog,
        live = live,
        streams = streams,
        jobs = JobEndpoint(ports.callers, board, jobs.appender, writer, wallClock),
        usage = usageMeter,
        calls = callCounter,
        admission = admission,
        heap = heap,
        clock = clock,
        events = events,
    )
    private val connections = Connections(MAX_CALLER_CONNECTIONS, idHeader = ports.callers.idHeader, events = events)
    private val callerDrain = CallerDrain(connections, admission, clock)
    private val drainReport = DrainReport(connections, callCounter, clock, events)
    private val servers = mutableListOf<HttpServer>()

    init {
        targets.register(metrics)
        metrics.registerRoom(jobs.rewards, live)
        metrics.registerCheckpoints(jobs.checkpoints)
        metrics.registerTexts(jobs.runner)
        heap.register(metrics)
        metrics.registerFaults(connections)
        metrics.registerProcessorTime()
    }

    @Volatile
    private var stopping = false

    /** Bound address for callers, `host:port`, with the actual port; valid once [start] has returned. */
    public val callerAddress: String get() = servers[CALLER_SERVER].address

    /** Bound address of the readiness probe, `host:port`; valid once [start] has returned. */
    public val readyAddress: String get() = servers[READY_SERVER].address

    /** Bound address of metrics and status, `host:port`; valid once [start] has returned. */
    public val adminAddress: String get() = servers[ADMIN_SERVER].address

    /**
     * True if the load balancer may route callers here: a catalog is known, the views are fresh, the heap was not
     * exhausted a moment ago and no drain runs.
     */
    public val ready: Boolean get() = !stopping && !heap.isExhausted &&
        listOf(catalog.follower, replicas.follower, board.follower).all {
            it.state.value.ready && (it.age(clock.now()) ?: Duration.INFINITE) < MAX_VIEW_AGE
        } && catalog.catalog.value != null

    /**
     * Starts the servers and all components. Calls are accepted at once, and refused as not run until a catalog has
     * been read.
     */
    public suspend fun start() {
        servers += HttpServer.start(settings.callerAddress, connections) { frontServer.install(this) }
        servers += HttpServer.start(settings.readyAddress) {
            routing {
                get(ports.callers.readyPath) {
                    val ready = ready
                    val status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
                    call.respondText(if (ready) "ready\n" else "not ready\n", status = status)
                }
            }
        }
        val admin = AdminServer(metrics.registry, ::status)
        servers += HttpServer.start(settings.adminAddress) { admin.install(this) }
        startComponents()
        val attributes = mapOf("caller_address" to callerAddress, "ready_address" to readyAddress)
        events.record("instance.started", EventLinks(), attributes)
    }

    private fun startComponents() {
        mapOf(
            "catalog" to catalog.follower,
            "targets" to replicas.follower,
            "jobs" to board.follower,
            "placement" to placement.follower,
            "usage" to usageBoard.follower,
            "crashes" to crashes.follower,
        ).forEach { (topic, follower) -> supervisor.start("follower.$topic") { follower.run() } }
        supervisor.start("jobs.content") { board.content.run() }
        (jobs.appenders + listOf(usageAppender, placementAppender, crashAppender)).forEach { appender ->
            supervisor.start("appender.${appender.topic.value}") { appender.run() }
        }
        supervisor.start("targets.expiry") { replicas.run() }
        supervisor.start("targets.tracking") { replicas.replicas.collect(::retainTargets) }
        supervisor.start("usage.meter") { usageMeter.run() }
        supervisor.start("slots") { jobs.slots.run() }
        jobs.regional?.let { supervisor.start("slots.regional") { it.slots.run() } }
        supervisor.start("lease.appender") { leaseAppender.run() }
        supervisor.start("lease.follower") { leases.run() }
        supervisor.start("duty") { duty.run() }
        supervisor.start("jobs.runner") { jobs.runner.run() }
        supervisor.start("weights") { weightLoader.run() }
        supervisor.start("fleet") { fleetSizer.run() }
        supervisor.start("usage.reporter") { usageReporter.run() }
    }

    private fun retainTargets(present: Map<TargetId, Replica>) {
        tracker.retain(present.values)
        targets.retain(present.values)
    }

    private fun status() = InstanceStatus(
        instance = settings.instance,
        incarnation = incarnation.value,
        dataCentre = settings.dataCentre,
        configOffset = catalog.catalog.value?.version ?: -1,
        draining = stopping,
        targets = targets.status(),
        duties = listOfNotNull(duty.heldTerm?.let { HeldDuty(duty.name, it.value) }),
        evacuated = catalog.evacuations.value.dataCentres.map { it.name }.sorted(),
    )

    /**
     * Drains this instance within the grace period: fails the readiness probe, releases the duty and the slots, and
     * serves calls until no more arrive and none is in progress, and then closes all connections, so that no call is
     * cut off when the process ends. A call that might outlast the drain is refused as not run once the load balancer
     * had time to notice; one that began earlier is answered as timed out before the end. The events `drain.call_cut`
     * and `drain.ended` report the calls that were still in progress when the grace period ended.
     */
    public suspend fun drain() {
        stopping = true
        events.record("drain.started")
        val grace = settings.hosting.graceS.seconds - EXIT_MARGIN
        withTimeoutOrNull(grace) {
            launch { duty.stop(HANDOVER_TIMEOUT) }
            launch { jobs.slots.leave() }
            jobs.regional?.let { launch { it.slots.leave() } }
            jobs.runner.stopAccepting()
            val serviceTime = grace - CLOSE_TIME
            callerDrain.finishCalls(minOf(BALANCER_NOTICE, serviceTime), serviceTime) { jobs.runner.inProgress > 0 }
            callerDrain.closeConnections()
            usageMeter.flush()
        }
        drainReport.record()
    }

    /** Closes the servers and all their connections at once, as the end of the process does. */
    public fun closeServers() {
        servers.forEach { it.stop() }
    }

    private companion object {
        /** Indices in the list of servers, which are started in this order. */
        const val CALLER_SERVER = 0
        const val READY_SERVER = 1
        const val ADMIN_SERVER = 2

        val LeaseTopic = TopicName("duty", keyed = false)

        /** Long-poll timeout of lease reads; bounds the delay until a holder sees its renewal. */
        val LEASE_LONG_POLL = 1.seconds

        /** Lease term as a fraction of the quiet period; a successor waits slightly longer than the term. */
        const val LEASE_TERM_FRACTION = 0.66

        /** Time within which an order that timed out takes effect, if it still does. */
        val LATE_EFFECT_TIME = 500.milliseconds

        /**
         * Maximum age of a view; above it, callers are better served by other instances. One long poll whose answer is
         * lost, and the read after it, stay below.
         */
        val MAX_VIEW_AGE = 3500.milliseconds

        /** Maximum caller connections: half of the file descriptors of the smallest machines (2,212), rounded down. */
        const val MAX_CALLER_CONNECTIONS = 1000

        /** Time for the load balancer to notice the drain: two probes, one per second, and the network latency. */
        val BALANCER_NOTICE = 2500.milliseconds

        /** Part of the grace period in which calls are cut off and connections closed. */
        val CLOSE_TIME = 300.milliseconds
        val HANDOVER_TIMEOUT = 1.seconds

        /** Part of the grace period reserved for the exit of the process. */
        val EXIT_MARGIN = 1.seconds
    }
}
