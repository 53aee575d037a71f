package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.order.EngineOrdering
import dev.vanillarun.core.platform.WeightStore
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Rates, limits and intervals of the weight roll-out. */
public data class WeightPolicy(
    /** Maximum loads per second over all engines; at most the rate that the platform's weight store allows. */
    public val loadsPerSecond: Double = 100.0,
    /** Maximum fraction of a route's engines that load at the same time, from 0 to 1. */
    public val maxLoadingPart: Double = 0.5,
    /** Time after which an unfinished load counts as failed. */
    public val loadTimeout: Duration = 10.seconds,
    /** Time between two reads of the newest version from the weight store. */
    public val storePollInterval: Duration = 500.milliseconds,
    /** Time between two checks for engines that may load next, while some are out of date. */
    public val tick: Duration = 50.milliseconds,
    /** Time between two reads of the version of an engine whose order is in doubt. */
    public val versionReadInterval: Duration = 500.milliseconds,
    /** Time after which an engine's version is read again, since a restarted engine serves old weights. */
    public val recheckInterval: Duration = 10.seconds,
)

/** Receives the outcome of each weight load. */
public fun interface WeightObserver {
    /** Called when a load of [version] at [target] ended; [loaded] is false if it failed. */
    public fun loadEnded(target: TargetId, version: WeightVersion, loaded: Boolean)
}

/** Dependencies of [WeightDuty]. */
public data class WeightPorts(
    /** Platform store from which the newest weight version is read. */
    public val store: WeightStore,
    /** Sends load orders to engines and reads their versions. */
    public val ordering: EngineOrdering,
    /** Returns the engines of the configuration in force. */
    public val engines: () -> List<Target>,
    /** Rates, limits and intervals. */
    public val policy: WeightPolicy = WeightPolicy(),
    /** Called after each load; does nothing by default. */
    public val observer: WeightObserver = WeightObserver { _, _, _ -> },
)

/** Progress of the weight roll-out as seen by the lease holder. */
public data class WeightStatus(
    /** Newest version in the weight store; null until it has been read. */
    public val newest: WeightVersion? = null,
    /** Number of engines that do not serve [newest] yet. */
    public val behind: Int = 0,
)

/** Rolls out the newest weights of the platform's store to all engines while the lease of the duty is held. */
public class WeightDuty(
    private val runner: DutyRunner,
    private val ports: WeightPorts,
    private val issuer: InstanceId,
    private val timeout: Duration = 2.seconds,
    private val clock: MonotonicClock = SystemClock,
) {
    private val mutableStatus = MutableStateFlow(WeightStatus())

    /** Progress of the roll-out; empty while the lease is not held. */
    public val status: StateFlow<WeightStatus> = mutableStatus.asStateFlow()

    /** Performs the duty whenever the lease is held, until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            val term = runner.state.first { it.term != null }.term
            if (term != null) runTerm(term)
        }
    }

    private suspend fun runTerm(term: Offset) = coroutineScope {
        val rollOut = launch { WeightTerm(term, runner, ports, issuer, timeout, clock, mutableStatus).run() }
        runner.state.first { it.term != term }
        rollOut.cancel()
        mutableStatus.value = WeightStatus()
    }
}
