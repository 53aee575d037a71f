package dev.vanillarun.daemon

import dev.vanillarun.adapters.events.JsonLineEventRecorder
import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.Intervals
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.lease.LeaseTiming
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.order.engines
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.sample.RunnerAddress
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.record
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.admin.AdminServer
import dev.vanillarun.daemon.admin.HeldDuty
import dev.vanillarun.daemon.admin.InstanceStatus
import dev.vanillarun.daemon.admin.TargetStatus
import dev.vanillarun.daemon.agreement.Agreement
import dev.vanillarun.daemon.agreement.AgreementPorts
import dev.vanillarun.daemon.agreement.AgreementTiming
import dev.vanillarun.daemon.agreement.DutyRunner
import dev.vanillarun.daemon.agreement.WeightPolicy
import dev.vanillarun.daemon.agreement.WeightPorts
import dev.vanillarun.daemon.caller.ServingState
import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.config.ConfigSource
import dev.vanillarun.daemon.dispatch.PoolDemand
import dev.vanillarun.daemon.dispatch.TargetState
import dev.vanillarun.daemon.metrics.ControlMetrics
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.daemon.peer.PeerContent
import dev.vanillarun.daemon.peer.PeerLinks
import dev.vanillarun.daemon.peer.PeerPullCalls
import dev.vanillarun.daemon.rollout.RolloutService
import dev.vanillarun.daemon.rollout.SampleGenerator
import dev.vanillarun.daemon.rollout.StepJournal
import dev.vanillarun.daemon.rollout.StepRegistry
import dev.vanillarun.daemon.stream.TokenFigures
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A running instance: its servers, background loops and state. */
public class RunningDaemon internal constructor(
    private val settings: DaemonSettings,
    private val ports: PlatformPorts,
    private val incarnation: Incarnation,
    private val scope: CoroutineScope,
    private val requestStop: () -> Unit,
) {
    private val instance = InstanceId(settings.instance)
    private val events = JsonLineEventRecorder(instance, incarnation)
    private val metrics = DaemonMetrics()
    private val source = ConfigSource(ports.log, settings.intervals.logWaitMs.milliseconds)
    private val writer = RecordWriter(instance, incarnation)
    private val demand = PoolDemand(
        dataCentre = DataCentre(settings.dataCentre),
        config = { source.active.value },
        targets = { dataPath.pool.of(it) },
        waiting = { dataPath.queues.waiting() },
        clock = SystemClock,
    )
    private val agreement = Agreement(
        ports = AgreementPorts(ports.log, ports.reporting, ports.ordering, demand, weightPorts()),
        writer = writer,
        dataCentre = DataCentre(settings.dataCentre),
        config = source.follower,
        scope = scope,
        timing = agreementTiming(settings.intervals),
        events = events,
    )
    private val links = PeerLinks()
    private val peerSubsystem = PeerSubsystem(settings, incarnation, scope, source, writer, links, events)

    private val serving = MutableStateFlow(ServingState.SERVING)
    private val draining: Boolean get() = serving.value != ServingState.SERVING
    private val dataPath: DataPath = DataPath(
        settings = settings,
        incarnation = incarnation,
        scope = scope,
        source = source,
        events = events,
        metrics = metrics,
        observers = CallObservers(::reportCrash, ::countUsage),
        isMine = peerSubsystem::isMine,
        claims = agreement.claims,
        rollouts = ::rolloutService,
        serving = serving,
    )
    private lateinit var callerServer: HttpServer
    private lateinit var adminServer: HttpServer
    private var announcer: Announcer? = null

    /** Address for callers, `host:port`. */
    public val callerAddress: String get() = callerServer.address

    /** Address for health, metrics and status, `host:port`. */
    public val adminAddress: String get() = adminServer.address

    /** Address for other instances, `host:port`. */
    public val peerAddress: String get() = peerSubsystem.address

    /** Snapshot of the state, as served at `/status`. */
    public val status: InstanceStatus get() = InstanceStatus(
        instance = settings.instance,
        incarnation = incarnation.value,
        dataCentre = settings.dataCentre,
        configOffset = source.active.value?.offset?.value ?: -1,
        draining = draining,
        members = peerSubsystem.aliveIds().map { it.value },
        targets = dataPath.pool.all().map(::targetStatus),
        duties = agreement.duties.mapNotNull(::heldDutyOrNull),
        evacuated = source.active.value?.config?.evacuated.orEmpty().map { it.name },
    )

    private fun heldDutyOrNull(runner: DutyRunner): HeldDuty? {
        val held = runner.state.value
        val term = held.term?.takeIf { held.mayAct(SystemClock.now()) } ?: return null
        return HeldDuty(held.duty.value, term.value)
    }

    private fun targetStatus(state: TargetState) = TargetStatus(
        target = state.id.value,
        inFlight = state.stats.inFlight,
        standing = state.health.standing.name.lowercase(),
        ejected = state.health.isEjected(SystemClock.now()),
        leaving = state.leaving,
    )

    private fun rolloutService(generator: SampleGenerator): RolloutService {
        val self = { RunnerAddress(instance, incarnation, peerSubsystem.address) }
        val journal = StepJournal(ports.log, writer, self)
        val registry = StepRegistry(scope)
        return RolloutService(
            source.active,
            journal,
            registry,
            PeerPullCalls(links),
            generator,
            self,
            SystemClock,
            events = events,
        )
    }

    private fun countUsage(customer: CustomerId, figures: TokenFigures?) {
        val tokens = figures ?: TokenFigures()
        agreement.usage.count(UsageFigure(customer, 1, tokens.promptTokens, tokens.completionTokens))
    }

    private fun weightPorts(): WeightPorts? {
        val store = ports.weights ?: return null
        val ordering = ports.engines ?: return null
        val bounds = settings.weights
        val policy = WeightPolicy(
            loadsPerSecond = bounds.loadsPerSecond.toDouble(),
            maxLoadingPart = bounds.maxLoadingPercent / PERCENT,
            loadTimeout = bounds.loadTimeoutMs.milliseconds,
        )
        return WeightPorts(store, ordering, {
            source.active.value?.config?.engines().orEmpty()
        }, policy, ::recordWeightLoad)
    }

    private fun recordWeightLoad(target: TargetId, version: WeightVersion, loaded: Boolean) {
        val attributes = mapOf("target" to target.value, "version" to version.number.toString())
        events.record(if (loaded) "weights.loaded" else "weights.failed", EventLinks(duty = "weights"), attributes)
    }

    private suspend fun reportCrash(fingerprint: Fingerprint, target: TargetId) {
        peerSubsystem.content.crashed(fingerprint, target)
        val attributes = mapOf("fingerprint" to fingerprint.hex, "target" to target.value)
        events.record("target.crashed", EventLinks(), attributes)
        peerSubsystem.gossip.spread()
    }

    internal suspend fun begin() {
        val admin = AdminServer(metrics.registry, { status }, requestStop)
        metrics.gauge("vanillarun_config_offset", "Position of the configuration in force.") {
            status.configOffset.toDouble()
        }
        metrics.gauge("vanillarun_weights_newest", "Newest weights, at the instance that rolls them out.") {
            agreement.weightStatus.newest?.number?.toDouble() ?: 0.0
        }
        metrics.gauge("vanillarun_weights_behind", "Engines without them, at the instance that rolls them out.") {
            agreement.weightStatus.behind.toDouble()
        }
        adminServer = HttpServer.start(settings.adminAddress) { admin.install(this) }
        peerSubsystem.start(dataPath) { PeerContent.Status(peerSubsystem.address, draining) }
        ControlMetrics(metrics, SystemClock).run {
            registerPeerMetrics(peerSubsystem.gossip, links)
            registerLogMetrics(agreement.followers)
            registerLeaseMetrics(agreement.duties)
            registerLoadReportMetrics(dataPath.poller)
        }
        callerServer = HttpServer.start(settings.callerAddress, dataPath.connections) { dataPath.callers.install(this) }
        announcer = ports.directory?.let { directory ->
            Announcer(directory, settings, callerAddress, adminAddress, peerSubsystem.address, dataPath.pool)
        }
        launchAll()
        val addresses = mapOf(
            "caller_address" to callerAddress,
            "admin_address" to adminAddress,
            "peer_address" to peerAddress,
        )
        events.record("instance.started", EventLinks(), addresses)
    }

    private fun launchAll() {
        scope.launch { source.run(::apply) }
        scope.launch { demand.run() }
        agreement.start()
        scope.launch { dropForeignSteps() }
        scope.launch { announcer?.run() }
        dataPath.start()
        peerSubsystem.run(announcer)
    }

    private suspend fun dropForeignSteps(): Nothing {
        while (true) {
            delay(FOREIGN_STEP_CHECK_INTERVAL)
            dataPath.rollouts.stopForeignSteps()
        }
    }

    private fun apply(config: ActiveConfig) {
        dataPath.apply(config)
        events.record("config.applied", EventLinks(offset = config.offset))
    }

    /** Leaves the platform, hands over the duties, waits for the calls in progress, then stops. */
    public suspend fun drain(): DrainOutcome {
        serving.value = ServingState.LEAVING
        val started = events.record("drain.started")
        announcer?.leave()
        val handOver = scope.launch { agreement.handOver() }
        val drain = Drain(
            dataPath.connections,
            dataPath.calls,
            serving,
            settings.intervals.drainNoticeMs.milliseconds,
            settings.intervals.drainTimeoutMs.milliseconds,
        )
        val outcome = drain.run()
        val attributes = mapOf("outcome" to outcome.name.lowercase())
        events.record("drain.ended", EventLinks(causedBy = listOf(started)), attributes)
        handOver.join()
        agreement.usage.stop()
        announcer?.end()
        stop()
        return outcome
    }

    /** Stops without a drain: calls in progress are aborted and duties are not handed over. */
    public fun stop() {
        callerServer.stop()
        adminServer.stop()
        scope.cancel()
        peerSubsystem.close()
        dataPath.close()
    }

    private companion object {
        val FOREIGN_STEP_CHECK_INTERVAL = 2.seconds
        val MAX_CONTRIBUTION_INTERVAL = 10.seconds
        const val CONTRIBUTIONS_PER_WINDOW = 6
        const val PERCENT = 100.0

        fun agreementTiming(intervals: Intervals): AgreementTiming {
            val window = intervals.usageWindowMs.milliseconds
            return AgreementTiming(
                lease = LeaseTiming(term = intervals.leaseTermMs.milliseconds),
                usageWindow = window,
                contributionInterval = minOf(window / CONTRIBUTIONS_PER_WINDOW, MAX_CONTRIBUTION_INTERVAL),
                snapshotInterval = intervals.snapshotMs.milliseconds,
            )
        }
    }
}
