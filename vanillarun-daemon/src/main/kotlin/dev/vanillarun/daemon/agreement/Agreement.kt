package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.ConfigState
import dev.vanillarun.core.lease.DutyTable
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.lease.LeaseTiming
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.platform.TargetOrdering
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.usage.UsageReducer
import dev.vanillarun.core.usage.UsageState
import dev.vanillarun.core.usage.toSnapshot
import dev.vanillarun.core.zone.DataCentre
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Platform services used by [Agreement]. */
public data class AgreementPorts(
    /** Shared log through which the instances agree. */
    public val log: PlatformLog,
    /** Receives usage reports; null if this instance does not take part in the usage duty. */
    public val reporting: UsageReporting? = null,
    /** Receives target orders; null if this instance does not take part in the order duty. */
    public val ordering: TargetOrdering? = null,
    /** Input for target orders; null if this instance gives none. */
    public val demand: DemandSource? = null,
    /** Dependencies of the weight roll-out; null if this instance does not take part in it. */
    public val weights: WeightPorts? = null,
)

/** Intervals and timeouts of [Agreement]. */
public data class AgreementTiming(
    /** Timing of the leases of all duties. */
    public val lease: LeaseTiming = LeaseTiming(),
    /** Time after which an open usage window that is not empty is closed. */
    public val usageWindow: Duration = 60.seconds,
    /** Mean time between two usage contributions of an instance. */
    public val contributionInterval: Duration = 10.seconds,
    /** Minimum time between two snapshots of a stream; see [StreamSnapshotter]. */
    public val snapshotInterval: Duration = 60.seconds,
    /** Timeout of a duty's calls; it must be well below the lease term, or the duty would never be performed. */
    public val callTimeout: Duration = minOf(lease.term / CALL_TIMEOUTS_PER_TERM, MAX_CALL_TIMEOUT),
) {
    private companion object {
        const val CALL_TIMEOUTS_PER_TERM = 4
        val MAX_CALL_TIMEOUT = 2.seconds
    }
}

/**
 * State that one instance shares with the others through the log: claims, usage, and the leases of its duties.
 *
 * ```
 * val agreement = Agreement(ports, writer, dataCentre, configFollower, scope)
 * agreement.start()
 * agreement.claims.claim(key, fingerprint)
 * agreement.stop() // contributes remaining usage and releases the duties
 * ```
 */
public class Agreement(
    private val ports: AgreementPorts,
    private val writer: RecordWriter,
    private val dataCentre: DataCentre,
    private val config: LogFollower<ConfigState>,
    private val scope: CoroutineScope,
    private val timing: AgreementTiming = AgreementTiming(),
    private val clock: MonotonicClock = SystemClock,
    private val random: Random = Random.Default,
    private val events: EventRecorder = NoOpEventRecorder,
) {
    /** Appends all records of this process; shared by claims, usage and duties. */
    public val appender: LogAppender = LogAppender(ports.log, clock)

    /** Claims idempotency keys for requests that must run at most once. */
    public val claims: RequestClaims = RequestClaims(ports.log, appender, writer, scope, clock)

    /** Counts usage per customer and contributes it to the log. */
    public val usage: UsageContributor = UsageContributor(appender, writer, timing.contributionInterval, random)

    private val leases: LogFollower<DutyTable> =
        LogFollower(ports.log, setOf(StreamName.Duty), LeaseReducer, clock = clock)
    private val windows: LogFollower<UsageState> =
        LogFollower(ports.log, setOf(StreamName.Usage), UsageReducer, clock = clock)
    private val usageRunner = ports.reporting?.let { runner(DutyName("usage")) }
    private val orderRunner = ports.ordering?.let { runner(DutyName("orders/$dataCentre")) }

    private val weightRunner = ports.weights?.let { runner(DutyName("weights")) }
    private val weightDuty = weightRunner?.let { runner ->
        ports.weights?.let { WeightDuty(runner, it, writer.writer, timing.callTimeout, clock) }
    }

    /** Progress of the weight roll-out; empty unless this instance holds the duty. */
    public val weightStatus: WeightStatus get() = weightDuty?.status?.value ?: WeightStatus()

    /** Runners of the duties whose leases this instance competes for. */
    public val duties: List<DutyRunner> = listOfNotNull(usageRunner, orderRunner, weightRunner)

    /** Log followers of this instance by stream name. */
    public val followers: Map<String, LogFollower<*>> = buildMap {
        put("config", config)
        if (duties.isNotEmpty()) put("duty", leases)
        if (usageRunner != null) put("usage", windows)
    }

    /** Starts the appender, the followers and the duties; the returned job runs until it is cancelled. */
    public fun start(): Job = scope.launch {
        launch { appender.run() }
        launch { usage.run() }
        launch { ConfigSnapshotter(config, appender, writer, timing.snapshotInterval, random).run() }
        launch { ConfigRecovery(config, appender, writer, timing.snapshotInterval, random).run() }
        if (duties.isNotEmpty()) launch { leases.run() }
        duties.forEach { launch { it.run() } }
        startReporting()
        startOrdering()
        weightDuty?.let { launch { it.run() } }
    }

    /** Stops acting on the duties at once and releases their leases; [timeout] bounds the release approximately. */
    public suspend fun handOver(timeout: Duration = 5.seconds): Unit = coroutineScope {
        duties.forEach { launch { it.stop(timeout) } }
    }

    /** Releases the duties and contributes the remaining usage; [timeout] bounds both approximately. */
    public suspend fun stop(timeout: Duration = 5.seconds): Unit = coroutineScope {
        launch { handOver(timeout) }
        launch { usage.stop(timeout) }
    }

    private fun CoroutineScope.startReporting() {
        val runner = usageRunner ?: return
        val reporting = ports.reporting ?: return
        launch { windows.run() }
        launch { usageSnapshotter().run() }
        launch {
            UsageDuty(
                runner,
                windows,
                appender,
                writer,
                reporting,
                timing.usageWindow,
                timing.callTimeout,
                clock = clock,
            ).run()
        }
    }

    private fun CoroutineScope.startOrdering() {
        val runner = orderRunner ?: return
        val ordering = ports.ordering ?: return
        val demand = ports.demand ?: return
        launch {
            TargetOrderDuty(runner, demand, ordering, writer.writer, timeout = timing.callTimeout, clock = clock).run()
        }
    }

    private fun usageSnapshotter() = StreamSnapshotter(
        stream = StreamName.Usage,
        follower = windows,
        lastSnapshot = { it.lastSnapshot },
        createSnapshot = { it.toSnapshot() },
        appender = appender,
        writer = writer,
        interval = timing.snapshotInterval,
        random = random,
    )

    private fun runner(duty: DutyName) =
        DutyRunner(duty, leases, appender, writer, timing.lease, clock, random, events = events)
}
