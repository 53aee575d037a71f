package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.retry.RetryBackoff
import dev.vanillarun.core.retry.RetryPolicy
import dev.vanillarun.core.routing.ExpectedCompletionSelector
import dev.vanillarun.core.routing.PrefixHolders
import dev.vanillarun.core.routing.ReportIntervalPolicy
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.agreement.RequestClaims
import dev.vanillarun.daemon.caller.ActiveCalls
import dev.vanillarun.daemon.caller.BodyReader
import dev.vanillarun.daemon.caller.BufferedBodies
import dev.vanillarun.daemon.caller.CallerServer
import dev.vanillarun.daemon.caller.Connections
import dev.vanillarun.daemon.caller.RequestIds
import dev.vanillarun.daemon.caller.RequestReader
import dev.vanillarun.daemon.caller.ServingState
import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.config.ConfigSource
import dev.vanillarun.daemon.dispatch.CrashMonitor
import dev.vanillarun.daemon.dispatch.CrashSink
import dev.vanillarun.daemon.dispatch.CustomerLimits
import dev.vanillarun.daemon.dispatch.LoadPoller
import dev.vanillarun.daemon.dispatch.LoadReaders
import dev.vanillarun.daemon.dispatch.Placement
import dev.vanillarun.daemon.dispatch.RouteQueues
import dev.vanillarun.daemon.dispatch.SilenceMonitor
import dev.vanillarun.daemon.dispatch.TargetPool
import dev.vanillarun.daemon.dispatch.TargetState
import dev.vanillarun.daemon.forward.AttemptLoop
import dev.vanillarun.daemon.forward.AttemptRunner
import dev.vanillarun.daemon.forward.ClaimGate
import dev.vanillarun.daemon.forward.EngineSampleGenerator
import dev.vanillarun.daemon.forward.Forwarder
import dev.vanillarun.daemon.forward.RetryGate
import dev.vanillarun.daemon.forward.UsageSink
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.daemon.metrics.registerFaults
import dev.vanillarun.daemon.rollout.RolloutEndpoint
import dev.vanillarun.daemon.rollout.RolloutService
import dev.vanillarun.daemon.rollout.SampleGenerator
import dev.vanillarun.daemon.target.ConnectProbe
import dev.vanillarun.daemon.target.KtorTargetClient
import dev.vanillarun.daemon.target.LoadReader
import dev.vanillarun.daemon.target.NettyTargetClient
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Receivers of crash reports and of usage figures from the data path. */
internal class CallObservers(val crashes: CrashSink, val usage: UsageSink)

/** Builds and connects the components that serve callers: pool, queues, dispatch, forwarding and steps. */
internal class DataPath(
    settings: DaemonSettings,
    incarnation: Incarnation,
    private val scope: CoroutineScope,
    source: ConfigSource,
    events: EventRecorder,
    metrics: DaemonMetrics,
    observers: CallObservers,
    isMine: (TargetState) -> Boolean,
    claims: RequestClaims,
    rollouts: (SampleGenerator) -> RolloutService,
    serving: StateFlow<ServingState>,
) : AutoCloseable {
    private val clock = SystemClock
    private val selector = SelectorManager(Dispatchers.IO)
    private val client = NettyTargetClient()
    private val probes = KtorTargetClient()
    private val loads =
        LoadReaders(persistent = LoadReader(client, clock, KEPT_CONNECTION_TIMEOUT), fresh = LoadReader(probes, clock))

    val pool = TargetPool(clock)
    val limits = CustomerLimits(clock)
    val calls = ActiveCalls()
    val connections = Connections(settings.limits.maxConnections, events = events)
    private val prefixes = PrefixHolders()
    val queues = RouteQueues(pool, prefixes, clock)
    val crashes = CrashMonitor(scope, ConnectProbe(selector), clock, observers.crashes)

    /** Polls the load reports of the targets that are assigned to this instance. */
    val poller =
        LoadPoller(
            pool = pool,
            readers = loads,
            clock = clock,
            random = Random.Default,
            pace = ReportIntervalPolicy(settings.intervals.loadReportMs.milliseconds),
            isMine = isMine,
        )
    private val silence = SilenceMonitor(poller, clock, onDeadConnection = client::dropConnections)
    private val placement = Placement(
        pool = pool,
        selector = ExpectedCompletionSelector(DataCentre(settings.dataCentre), Random.Default),
        crashes = crashes,
        clock = clock,
        prefixes = prefixes,
        shareOf = queues::share,
    )
    private val runner = AttemptRunner(client, silence, settings.limits.maxAnswerBytes.toLong())
    private val retries = RetryGate(RetryPolicy(Random.Default), RetryBackoff(Random.Default))
    private val generator =
        EngineSampleGenerator(source.active, queues, pool, placement, runner, retries, crashes, clock, observers.usage)

    /** Runs the steps of trainers on this instance and serves their pulls. */
    val rollouts: RolloutService = rollouts(generator)

    private val loop = AttemptLoop(
        pool = pool,
        placement = placement,
        runner = runner,
        retries = retries,
        crashes = crashes,
        clock = clock,
        events = events,
        metrics = metrics,
    )

    private val bufferedBodies = BufferedBodies(settings.limits.maxBufferedBytes)
    private val bodies = BodyReader(settings.limits, bufferedBodies)

    val callers = CallerServer(
        config = source.active,
        reader = RequestReader(settings.limits, bodies, clock),
        forwarder = Forwarder(
            limits, queues, crashes,
            ClaimGate(
                claims,
            ),
            loop, calls, clock, events, metrics, observers.usage,
        ),
        ids = RequestIds(incarnation),
        calls = calls,
        limits = settings.limits,
        rollouts = RolloutEndpoint(this.rollouts, bodies),
        serving = serving,
    )

    init {
        metrics.gauge("vanillarun_requests_in_progress", "Calls in progress.") { calls.inProgress.toDouble() }
        metrics.gauge("vanillarun_requests_waiting", "Calls that wait for their turn.") {
            queues.waiting().values.sum().toDouble()
        }
        metrics.gauge("vanillarun_buffered_body_bytes", "Bytes of requests held.") { bufferedBodies.bytes.toDouble() }
        metrics.gauge("vanillarun_connections_open", "Open connections of callers.") { connections.count.toDouble() }
        metrics.registerFaults(connections)
    }

    /** Starts the background loops: load polling, silence detection and queue checks. */
    fun start() {
        scope.launch { poller.run() }
        scope.launch { silence.run(this) }
        scope.launch { queues.run(QUEUE_CHECK_INTERVAL) }
    }

    /** Applies [config] to pool and queues, and ends calls in progress that it no longer permits. */
    fun apply(config: ActiveConfig) {
        pool.update(config)
        queues.update(config)
        calls.recheck(config)
    }

    override fun close() {
        client.close()
        probes.close()
        selector.close()
    }

    private companion object {
        /** Interval at which queues look for targets that were freed by events outside of this instance. */
        val QUEUE_CHECK_INTERVAL = 20.milliseconds

        /** Timeout of a load report on a pooled connection; then a new connection is tried. */
        val KEPT_CONNECTION_TIMEOUT = 500.milliseconds
    }
}
