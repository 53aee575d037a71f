package dev.vanillarun.daemon.peer

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.limit.InstanceDemand
import dev.vanillarun.core.limit.LimitShare
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.routing.LoadReport
import dev.vanillarun.core.routing.RouteShare
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.dispatch.CrashMonitor
import dev.vanillarun.daemon.dispatch.CustomerLimits
import dev.vanillarun.daemon.dispatch.LocalDemand
import dev.vanillarun.daemon.dispatch.TargetPool
import dev.vanillarun.daemon.dispatch.TargetState
import dev.vanillarun.protocol.peers.v1.CustomerDemand
import dev.vanillarun.protocol.peers.v1.InstanceSummary
import dev.vanillarun.protocol.peers.v1.RouteDemand
import dev.vanillarun.protocol.peers.v1.TargetLoad
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.atomic.AtomicLong

/** Fills heartbeats from the state of the data path, and applies the content of received heartbeats to it. */
internal class PeerContent(
    private val settings: DaemonSettings,
    private val pool: TargetPool,
    private val limits: CustomerLimits,
    private val routeDemand: () -> Map<RouteName, Int>,
    private val crashes: CrashMonitor,
    private val clock: MonotonicClock,
    private val status: () -> Status,
    private val isMine: (TargetState) -> Boolean,
) : GossipContent {
    /** Properties of this instance that change while it runs. */
    data class Status(val peerAddress: String, val draining: Boolean)

    /** Starts from the wall clock, so that versions also increase over restarts. */
    private val version = AtomicLong(System.currentTimeMillis() * VERSIONS_PER_MS)
    private val recentCrashes = ConcurrentLinkedDeque<String>()
    private val demands = ConcurrentHashMap<InstanceId, Map<String, Int>>()
    private val routeDemands = ConcurrentHashMap<InstanceId, Map<RouteName, Int>>()

    @Volatile
    private var localDemands: Map<String, LocalDemand> = emptyMap()

    override fun summary(local: Boolean): InstanceSummary {
        val now = status()
        val builder = InstanceSummary.newBuilder()
            .setInstance(settings.instance)
            .setVersion(version.incrementAndGet())
            .setDataCentre(settings.dataCentre)
            .setPeerAddress(now.peerAddress)
            .setDraining(now.draining)
        if (local) builder.addAllLoads(loads())
        return builder.addAllDemands(demands()).addAllRouteDemands(routeDemands()).build()
    }

    private fun loads(): List<TargetLoad> = pool.all().filter(isMine).mapNotNull { state ->
        val report = state.stats.report ?: return@mapNotNull null
        TargetLoad.newBuilder()
            .setTarget(state.id.value)
            .setInFlight(report.running)
            .setQueued(report.waiting)
            .setSuspect(state.health.isEjected(clock.now()))
            .setLeaving(state.leaving)
            .build()
    }

    private fun demands(): List<CustomerDemand> {
        val now = limits.drainDemand().mapKeys { it.key.value }
        localDemands = now
        return now.filterValues { it.inProgress > 0 || it.refused > 0 }.map { (customer, demand) ->
            CustomerDemand.newBuilder()
                .setCustomer(customer)
                .setInProgress(demand.inProgress)
                .setWaiting(demand.refused)
                .build()
        }
    }

    private fun routeDemands(): List<RouteDemand> = routeDemand().filterValues { it > 0 }.map { (route, demand) ->
        RouteDemand.newBuilder().setRoute(route.value).setRequests(demand).build()
    }

    override fun summaryReceived(summary: InstanceSummary) {
        val from = InstanceId(summary.instance)
        routeDemands[from] = summary.routeDemandsList.associate { RouteName(it.route) to it.requests }
        demands[from] = summary.demandsList.associate { it.customer to it.inProgress + it.waiting }
        summary.loadsList.forEach { load ->
            val state = pool[TargetId(load.target)]?.takeUnless(isMine) ?: return@forEach
            state.reported(LoadReport(load.inFlight, load.queued, clock.now()))
        }
    }

    /** This instance's share of the limits of [customer], given the other instances that are [alive]. */
    fun share(customer: String, alive: Collection<InstanceId>): LimitShare {
        demands.keys.retainAll(alive.toSet())
        val mine = localDemands[customer]?.let { it.inProgress + it.refused } ?: 0
        val others = alive.map { InstanceDemand(it, demands[it]?.get(customer) ?: 0) }
        return LimitShare.of(InstanceDemand(InstanceId(settings.instance), mine), others)
    }

    /** This instance's share of the targets of [route] for its [demand], given the other instances that are [alive]. */
    fun routeShare(route: RouteName, demand: Int, alive: Collection<InstanceId>): RouteShare {
        routeDemands.keys.retainAll(alive.toSet())
        val others = alive.map { InstanceDemand(it, routeDemands[it]?.get(route) ?: 0) }
        return RouteShare.of(InstanceDemand(InstanceId(settings.instance), demand), others)
    }

    /** Adds a crash to the recent ones that heartbeats report. */
    fun crashed(fingerprint: Fingerprint, target: TargetId) {
        recentCrashes.addFirst("${fingerprint.hex}@${target.value}")
        while (recentCrashes.size > MAX_CRASHES) recentCrashes.pollLast()
    }

    override fun crashes(): List<String> = recentCrashes.toList()

    override fun crashesReceived(crashes: List<String>) {
        for (text in crashes) {
            if (text in recentCrashes) continue
            val fingerprint = Fingerprint(text.substringBefore('@'))
            val target = TargetId(text.substringAfter('@'))
            this.crashes.observed(fingerprint, target)
            crashed(fingerprint, target)
        }
    }

    private companion object {
        const val VERSIONS_PER_MS = 1_000L

        /** Maximum number of crashes that a heartbeat reports. */
        const val MAX_CRASHES = 8
    }
}
