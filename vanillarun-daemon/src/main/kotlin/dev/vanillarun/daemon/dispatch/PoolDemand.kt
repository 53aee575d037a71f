package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.order.DemandAverage
import dev.vanillarun.core.order.TargetDemand
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.agreement.DemandSource
import dev.vanillarun.daemon.config.ActiveConfig
import kotlinx.coroutines.delay
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Estimates the demand for the targets of one data centre from the load reports of the targets.
 *
 * A report counts the requests of all instances, and heartbeats carry it inside the data centre, so that each instance
 * can compute the sum without further messages. Requests that are queued at other instances are not included; they show
 * as full targets, for which more targets than are present are ordered. Requests queued at this instance are added.
 *
 * Calls of services count as non-repeatable demand, samples and completions as repeatable demand.
 */
public class PoolDemand(
    private val dataCentre: DataCentre,
    private val config: () -> ActiveConfig?,
    private val targets: (RouteName) -> List<TargetState>,
    private val waiting: () -> Map<RouteName, Int>,
    private val clock: MonotonicClock,
    private val interval: Duration = 1.seconds,
    private val freshness: Duration = 10.seconds,
) : DemandSource {
    @Volatile
    private var averages: Map<RouteName, DemandAverage> = emptyMap()

    /** Samples the demand at a fixed interval until cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            sample()
            delay(interval)
        }
    }

    /** Takes one sample of each route that has a spending rule in this data centre. */
    public fun sample() {
        val now = clock.now()
        val queued = waiting()
        averages = rules().mapNotNull { rule ->
            val total = reported(rule.route)?.plus(queued[rule.route] ?: 0) ?: return@mapNotNull null
            rule.route to (averages[rule.route]?.withSample(total, now) ?: DemandAverage(total, now))
        }.toMap()
    }

    /** An evacuated data centre has none: its targets are neither counted nor ordered away. */
    override fun rules(): List<SpendingRule> {
        val current = config()?.config ?: return emptyList()
        return current.spending.filter { it.dataCentre == dataCentre && dataCentre !in current.evacuated }
    }

    override fun demand(route: RouteName): TargetDemand? {
        val average = averages[route]?.value ?: return null
        val configured = config()?.config?.routes?.firstOrNull { it.name == route } ?: return null
        val targets = local(route)
        return TargetDemand(
            repeatable = if (configured.mayRepeat) average else 0.0,
            nonRepeatable = if (configured.mayRepeat) 0.0 else average,
            reclaimableTargets = targets.count { it.target.reclaimable },
            concurrency = concurrency(targets.map { it.target }),
        )
    }

    override fun targetCount(route: RouteName): Int = local(route).size

    private fun local(route: RouteName): List<TargetState> =
        targets(route).filter { it.target.dataCentre == dataCentre && !it.leaving }

    /** Number of requests at the targets of [route]; null if it has targets but no fresh report. */
    private fun reported(route: RouteName): Double? {
        val targets = local(route)
        val now = clock.now()
        val fresh = targets.filter { state -> state.stats.report?.let { now - it.takenAt < freshness } == true }
        if (fresh.isEmpty() && targets.isNotEmpty()) return null
        return fresh.sumOf { state -> (state.stats.report?.total ?: 0).toDouble() / state.target.routes.size }
    }

    private fun concurrency(targets: List<Target>): Int =
        if (targets.isEmpty()) DEFAULT_CONCURRENCY else targets.map { it.concurrency }.average().roundToInt()

    private val Route.mayRepeat: Boolean get() = kind == RouteKind.MODEL

    private companion object {
        /** Concurrency assumed for a target while the route has none. */
        const val DEFAULT_CONCURRENCY = 16
    }
}
