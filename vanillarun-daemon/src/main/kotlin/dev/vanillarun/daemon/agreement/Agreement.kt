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

/** The platform's services that agreement needs. */
public data class AgreementPorts(
    /** Log. */
    public val log: PlatformLog,
    /** Takes usage reports; null where this instance reports none. */
    public val reporting: UsageReporting? = null,
    /** Takes target orders; null where this instance gives none. */
    public val ordering: TargetOrdering? = null,
    /** What target orders are decided on; null where this instance gives none. */
    public val demand: DemandSource? = null,
    /** What the roll-out of weights needs; null where this instance takes no part in it. */
    public val weights: WeightPorts? = null,
)

/** Durations of agreement. */
public data class AgreementTiming(
    /** Leases. */
    public val lease: LeaseTiming = LeaseTiming(),
    /** Length of a usage window. */
    public val usageWindow: Duration = 60.seconds,
    /** Time between two usage contributions of an instance. */
    public val contributionInterval: Duration = 10.seconds,
    /** Least time between two snapshots of a stream. */
    public val snapshotInterval: Duration = 60.seconds,
    /** Longest call of a duty; it has to end well inside a lease, or the duty would never be performed. */
    public val call: Duration = minOf(lease.term / CALLS_IN_TERM, LONGEST_CALL),
) {
    private companion object {
        const val CALLS_IN_TERM = 4
        val LONGEST_CALL = 2.seconds
    }
}

/**
 * All that one instance agrees on with the others through the log: claims, usage, and the duties that it may hold.
 *
 * ```
 * val agreement = Agreement(ports, writer, dataCentre, configFollower, scope)
 * agreement.start()
 * agreement.claims.claim(key, fingerprint)
 * agreement.stop() // contributes the rest and hands duties over
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
    /** Appends this process's records. */
    public val appender: LogAppender = LogAppender(ports.log, clock)

    /** Claims of idempotency keys. */
    public val claims: RequestClaims = RequestClaims(ports.log, appender, writer, scope, clock)

    /** Counts usage. */
    public val usage: UsageContributor = UsageContributor(appender, writer, timing.contributionInterval, random)

    private val leases: LogFollower<DutyTable> =
        LogFollower(ports.log, setOf(StreamName.Duty), LeaseReducer, clock = clock)
    private val windows: LogFollower<UsageState> =
        LogFollower(ports.log, setOf(StreamName.Usage), UsageReducer, clock = clock)
    private val reporter = ports.reporting?.let { runner(DutyName("usage")) }
    private val orderer = ports.ordering?.let { runner(DutyName("orders/$dataCentre")) }

    private val roller = ports.weights?.let { runner(DutyName("weights")) }
    private val weightDuty = roller?.let { runner ->
        ports.weights?.let { WeightDuty(runner, it, writer.writer, timing.call, clock) }
    }

    /** How far the roll-out of weights is; empty unless this instance holds the duty. */
    public val weightStatus: WeightStatus get() = weightDuty?.status?.value ?: WeightStatus()

    /** Leases that this instance takes part in. */
    public val duties: List<DutyRunner> = listOfNotNull(reporter, orderer, roller)

    /** Followers that this instance runs, by the name of their stream. */
    public val followers: Map<String, LogFollower<*>> = buildMap {
        put("config", config)
        if (duties.isNotEmpty()) put("duty", leases)
        if (reporter != null) put("usage", windows)
    }

    /** Starts everything in the scope. */
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

    /** Stops acting on the duties at once and hands them over, in at most about [patience]. */
    public suspend fun handOver(patience: Duration = 5.seconds): Unit = coroutineScope {
        duties.forEach { launch { it.stop(patience) } }
    }

    /** Hands the duties over and contributes the rest of the usage, in at most about [patience]. */
    public suspend fun stop(patience: Duration = 5.seconds): Unit = coroutineScope {
        launch { handOver(patience) }
        launch { usage.stop(patience) }
    }

    private fun CoroutineScope.startReporting() {
        val runner = reporter ?: return
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
                timing.call,
                clock = clock,
            ).run()
        }
    }

    private fun CoroutineScope.startOrdering() {
        val runner = orderer ?: return
        val ordering = ports.ordering ?: return
        val demand = ports.demand ?: return
        launch { TargetOrderDuty(runner, demand, ordering, writer.writer, timeout = timing.call, clock = clock).run() }
    }

    private fun usageSnapshotter() = StreamSnapshotter(
        stream = StreamName.Usage,
        follower = windows,
        lastSnapshot = { it.lastSnapshot },
        snapshot = { it.toSnapshot() },
        appender = appender,
        writer = writer,
        interval = timing.snapshotInterval,
        random = random,
    )

    private fun runner(duty: DutyName) =
        DutyRunner(duty, leases, appender, writer, timing.lease, clock, random, events = events)
}
