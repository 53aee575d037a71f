package dev.vanillarun.hosted

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
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
import dev.vanillarun.daemon.admin.TargetStatus
import dev.vanillarun.daemon.agreement.DutyRunner
import dev.vanillarun.daemon.agreement.LogAppender
import dev.vanillarun.daemon.agreement.LogFollower
import dev.vanillarun.daemon.caller.Connections
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.duty.ControlDuty
import dev.vanillarun.hosted.duty.FleetOrders
import dev.vanillarun.hosted.duty.LoadInputs
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.duty.UsageBoard
import dev.vanillarun.hosted.duty.UsageMeter
import dev.vanillarun.hosted.duty.UsageReporter
import dev.vanillarun.hosted.duty.WeightLoads
import dev.vanillarun.hosted.front.CallCount
import dev.vanillarun.hosted.front.FrontServer
import dev.vanillarun.hosted.front.JobEndpoint
import dev.vanillarun.hosted.job.JobBoard
import dev.vanillarun.hosted.job.JobRunner
import dev.vanillarun.hosted.job.RewardCaller
import dev.vanillarun.hosted.job.RunnerInputs
import dev.vanillarun.hosted.job.SampleRun
import dev.vanillarun.hosted.job.SlotMembership
import dev.vanillarun.hosted.live.CrashBoard
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.live.ReplicaChooser
import dev.vanillarun.hosted.live.StreamForwarder
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.store.TopicPlatformLog
import dev.vanillarun.hosted.store.storeBackoff
import dev.vanillarun.hosted.target.TargetBook
import dev.vanillarun.hosted.target.TargetGateway
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

/** An instance on a hosting platform. */
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
    private val calls = CallCount(metrics)

    private val catalog = CatalogSource(ports.store, ports.codec, clock, events)
    private val replicas = ReplicaSource(ports.store, ports.codec, clock, events)
    private val board = JobBoard(ports.store, clock, events)
    private val usageBoard = UsageBoard(ports.store, clock, events)

    private val jobAppender = DurableAppender(ports.store, JobBoard.Topic, writer)
    private val usageAppender = DurableAppender(ports.store, UsageBoard.Topic, writer)
    private val crashAppender = DurableAppender(ports.store, CrashBoard.Topic, writer)
    private val placementAppender = DurableAppender(ports.store, PlacementBoard.Topic, writer)

    private val book = TargetBook(clock)
    private val placement = PlacementBoard(ports.store, book, clock, events)
    private val gateway = TargetGateway(ports.client, ports.targets, book)
    private val chooser = ReplicaChooser(replicas, book, gateway::isWarm, DataCentre(settings.dataCentre), clock)
    private val crashes = CrashBoard(ports.store, crashAppender, scope, clock, events)
    private val live = LiveForwarder(chooser, gateway, book, crashes, clock, events)
    private val streams = StreamForwarder(chooser, gateway, ports.targets, book, crashes, clock, events)
    private val window = settings.hosting.usageWindowS.seconds
    private val meter = UsageMeter(usageAppender, window, clock, wallClock)
    private val slots = SlotMembership(ports.store, settings.instance, events)

    private val leaseLog = TopicPlatformLog(ports.store, LeaseTopic, StreamName.Duty)
    private val leaseAppender = LogAppender(leaseLog, clock)
    private val leases =
        LogFollower(
            leaseLog,
            setOf(StreamName.Duty),
            LeaseReducer,
            clock = clock,
            backoff = storeBackoff(),
            wait = LEASE_POLL,
        )
    private val noTurns = settings.hosting.leaseMs.milliseconds
    private val duty = ControlDuty(
        runner = DutyRunner(
            duty = DutyName("control"),
            follower = leases,
            appender = leaseAppender,
            writer = RecordWriter(self, incarnation),
            timing = LeaseTiming(term = noTurns * LEASE_PART, maxEffectDelay = LATE_EFFECT),
            clock = clock,
            events = events,
        ),
        noTurns = noTurns,
        clock = clock,
    )

    private val runner = JobRunner(
        inputs = RunnerInputs(board, catalog, replicas, placement, slots, book),
        samples = SampleRun(gateway, ports.targets, book, clock),
        rewards = RewardCaller(catalog, live, clock, events),
        appender = jobAppender,
        writer = writer,
        clock = clock,
        wallClock = wallClock,
        events = events,
    )
    private val loadInputs = LoadInputs(catalog, replicas, placement, board, book)
    private val loads = WeightLoads(
        duty = duty,
        calls = ports.calls,
        inputs = loadInputs,
        placements = placementAppender,
        self = self,
        clock = clock,
        events = events,
    )
    private val fleet = FleetOrders(
        duty = duty,
        calls = ports.calls,
        inputs = loadInputs,
        self = self,
        clock = clock,
        events = events,
    )
    private val reporter = UsageReporter(
        duty = duty,
        calls = ports.calls,
        board = usageBoard,
        appender = usageAppender,
        self = self,
        window = window,
        clock = clock,
        wallClock = wallClock,
        events = events,
    )
    private val front = FrontServer(
        dialect = ports.callers,
        catalog = catalog,
        live = live,
        streams = streams,
        jobs = JobEndpoint(ports.callers, board, jobAppender, writer, wallClock),
        usage = meter,
        calls = calls,
        clock = clock,
        events = events,
    )
    private val servers = mutableListOf<HttpServer>()

    @Volatile
    private var stopping = false

    /** True if new callers may be sent here: all views have been read and are fresh. */
    public val ready: Boolean get() = !stopping && listOf(catalog.follower, replicas.follower, board.follower).all {
        it.state.value.ready && (it.age(clock.now()) ?: Duration.INFINITE) < STALE
    } && catalog.catalog.value != null

    /** Starts everything; the addresses are served, with refusals, before the first view is read. */
    public suspend fun start() {
        servers += HttpServer.start(settings.callerAddress, Connections(MAX_CALLERS)) { front.install(this) }
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
        launchAll()
        val addresses = mapOf("caller_address" to settings.callerAddress, "ready_address" to settings.readyAddress)
        events.record("instance.started", EventLinks(), addresses)
    }

    private fun launchAll() {
        listOf(
            catalog.follower,
            replicas.follower,
            board.follower,
            placement.follower,
            usageBoard.follower,
            crashes.follower,
        )
            .forEach { scope.launch { it.run() } }
        listOf(jobAppender, usageAppender, placementAppender, crashAppender).forEach { scope.launch { it.run() } }
        scope.launch { replicas.run() }
        scope.launch { replicas.replicas.collect { book.retain(it.values) } }
        scope.launch { meter.run() }
        scope.launch { slots.run() }
        scope.launch { leaseAppender.run() }
        scope.launch { leases.run() }
        scope.launch { duty.run() }
        scope.launch { runner.run() }
        scope.launch { loads.run() }
        scope.launch { fleet.run() }
        scope.launch { reporter.run() }
    }

    private fun status() = InstanceStatus(
        instance = settings.instance,
        incarnation = incarnation.value,
        dataCentre = settings.dataCentre,
        configOffset = catalog.catalog.value?.version ?: -1,
        draining = stopping,
        targets = replicas.replicas.value.values.map {
            TargetStatus(it.id.value, book.of(it).running, ejected = !book.usable(it), leaving = it.leaving)
        },
        duties = listOfNotNull(duty.heldTerm?.let { HeldDuty(duty.name, it.value) }),
    )

    /**
     * Leaves within the grace period without cutting a call: tells the balancer, hands duties and slots over, serves
     * on until no call arrives any more.
     */
    public suspend fun drain() {
        stopping = true
        calls.closing = true
        events.record("drain.started")
        val grace = settings.hosting.graceS.seconds - STOP_MARGIN
        withTimeoutOrNull(grace) {
            launch { duty.stop(HAND_OVER) }
            launch { slots.leave() }
            runner.stopTaking()
            delay(minOf(NOTICE, grace / 2))
            var seen = -1L
            while (calls.inProgress > 0 || calls.arrivals != seen || runner.inProgress > 0) {
                seen = calls.arrivals
                delay(QUIET)
            }
            meter.flush()
        }
        events.record("drain.ended", EventLinks(), mapOf("cut" to "${calls.inProgress}"))
    }

    private companion object {
        val LeaseTopic = TopicName("duty", keyed = false)

        /** Time that the store may hold a read of leases; bounds how late a holder notices its renewal. */
        val LEASE_POLL = 1.seconds

        /** Term of the lease; a successor waits a little longer than this part of the time without turns. */
        const val LEASE_PART = 0.66

        /** Time after which an order that was given up on has taken effect, if it does. */
        val LATE_EFFECT = 500.milliseconds

        /** Age of a view from which on callers are better served elsewhere. */
        val STALE = 2.seconds

        /** Connections of callers; half of the descriptors of the smallest machines in use (2,212), rounded down. */
        const val MAX_CALLERS = 1000

        /** Two questions of the balancer, one a second, and the way there. */
        val NOTICE = 2500.milliseconds
        val QUIET = 300.milliseconds
        val HAND_OVER = 1.seconds

        /** Time for the end of the process itself. */
        val STOP_MARGIN = 1.seconds
    }
}
