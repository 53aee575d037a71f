package dev.vanillarun.hosted.duty

import dev.vanillarun.core.catalog.Catalog
import dev.vanillarun.core.catalog.CatalogService
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.catalog.ServiceSpending
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.order.DataCentreFleet
import dev.vanillarun.core.order.PlacedOrder
import dev.vanillarun.core.order.SizingPolicy
import dev.vanillarun.core.order.TargetDemand
import dev.vanillarun.core.order.TargetSizing
import dev.vanillarun.core.order.isDue
import dev.vanillarun.core.order.spreadTargets
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.DataCentre
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sizes each service's fleet of engines by the items of open jobs; acts only while this instance holds the duty.
 *
 * An interrupted item resumes on another engine after its last event, so reclaimable targets are ordered where they are
 * offered, and the number of firm ones is left as it is. Where only firm targets are offered, a growing fleet keeps the
 * present ones in their data centres. An evacuated data centre keeps its targets, but none of them counts as present.
 */
internal class FleetSizer(
    private val duty: ControlDuty,
    private val calls: HostingCalls,
    private val inputs: ControlInputs,
    private val self: InstanceId,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private data class FleetKey(val service: String, val dataCentre: DataCentre)

    private var sizedTerm: Offset? = null
    private val sizings = HashMap<String, TargetSizing>()
    private val placedOrders = HashMap<FleetKey, PlacedOrder>()
    private val backoffUntil = HashMap<FleetKey, Instant>()

    /** Sizes the fleets until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            duty.awaitLease()
            if (duty.mayAct(MAX_ORDER_TIME)) runOnce()
            delay(RUN_INTERVAL)
        }
    }

    private suspend fun runOnce() {
        if (duty.heldTerm != sizedTerm) startTerm()
        val catalog = inputs.catalog.catalog.value ?: return
        if (!inputs.replicas.follower.confirm(MAX_VIEW_AGE, CONFIRM_TIMEOUT)) return
        catalog.services.values.filter { it.models.isNotEmpty() }
            .forEach { service -> service.spending?.let { resize(catalog, service, it) } }
    }

    private fun startTerm() {
        sizedTerm = duty.heldTerm
        sizings.clear()
        placedOrders.clear()
    }

    private suspend fun resize(catalog: Catalog, service: CatalogService, spending: ServiceSpending) {
        val listed = inputs.replicas.of(service.name)
        val evacuated = inputs.catalog.evacuations.value.dataCentres
        val dataCentres = spending.prices.keys.ifEmpty { listed.mapTo(HashSet()) { it.dataCentre } } - evacuated
        if (listed.isEmpty() || dataCentres.isEmpty()) return
        val engines = listed.filter { it.dataCentre !in evacuated }
        val demand = TargetDemand(
            repeatable = pendingItems(catalog, service.name) / ITEMS_PER_SLOT,
            nonRepeatable = 0.0,
            concurrency = service.slots ?: listed.maxOf { it.slots },
        )
        val bounds = spending.bounds.first * dataCentres.size..spending.bounds.last * dataCentres.size
        val sizing = (sizings[service.name] ?: TargetSizing(engines.size)).adjust(demand, bounds, Policy, clock.now())
        sizings[service.name] = sizing
        val grows = sizing.desired >= engines.size
        val fleets = dataCentres.map { fleetAt(FleetKey(service.name, it), spending, engines, grows) }
        val desired = spreadTargets(sizing.desired, fleets)
        fleets.forEach {
            orderIfDue(FleetKey(service.name, it.dataCentre), it, desired.getValue(it.dataCentre), spending)
        }
    }

    /** Number of unfinished items of open jobs on routes that [service] serves. */
    private fun pendingItems(catalog: Catalog, service: String): Double =
        inputs.jobs.table.value.jobs.values.filter { it.open }.sumOf { view ->
            val job = view.job
            val route = job?.let { catalog.route(it.host, it.path) }
            val served = route?.services.orEmpty().any { it.service == service }
            if (job != null && served) job.itemCount - view.results.size else 0
        }.toDouble()

    private fun fleetAt(key: FleetKey, spending: ServiceSpending, engines: List<Replica>, grows: Boolean) =
        engines.filter { it.dataCentre == key.dataCentre }.let { local ->
            val reclaimable = spending.reclaimablePrice != null
            val present = local.count { it.reclaimable == reclaimable }
            DataCentreFleet(
                dataCentre = key.dataCentre,
                otherTargets = local.size - present,
                present = present,
                pinnedTargets = if (grows && !reclaimable) present else 0,
                ceiling = spending.bounds.last,
                price = spending.prices[key.dataCentre] ?: DEFAULT_PRICE,
                soldOut = inBackoff(key),
            )
        }

    private fun inBackoff(key: FleetKey) = backoffUntil[key]?.let { clock.now() < it } ?: false

    private suspend fun orderIfDue(key: FleetKey, fleet: DataCentreFleet, desired: Int, spending: ServiceSpending) {
        placedOrders.computeIfPresent(key) { _, placed -> placed.withPresent(fleet.present) }
        val due = placedOrders[key].isDue(desired, fleet.present, clock.now(), spending.startup + STARTUP_MARGIN)
        val reclaimable = spending.reclaimablePrice != null
        if (due && !fleet.soldOut) order(key, FleetOrder(key.service, key.dataCentre, desired, reclaimable))
    }

    private suspend fun order(key: FleetKey, order: FleetOrder) {
        val result = duty.perform(MAX_ORDER_TIME) { term -> calls.orderTargets(order, FencingToken(self, term)) }
        val attributes = mapOf(
            "service" to order.service,
            "data_centre" to order.dataCentre.name,
            "desired" to "${order.desired}",
            "reclaimable" to "${order.reclaimable}",
            "result" to "$result",
        )
        events.record("targets.ordered", EventLinks(duty = duty.name), attributes)
        when (result) {
            PlatformResult.Answered(FleetAnswer.ORDERED) -> placedOrders[key] = PlacedOrder(order.desired, clock.now())

            // Not sent: the next holder of the duty, or this one, orders as soon as it may act.
            null, PlatformResult.Withheld -> Unit

            else -> backoffUntil[key] = clock.now() + REFUSED_BACKOFF
        }
    }

    private companion object {
        val RUN_INTERVAL = 250.milliseconds

        /** Maximum age of the list of targets on which an order may be based. */
        val MAX_VIEW_AGE = 900.milliseconds
        val CONFIRM_TIMEOUT = 500.milliseconds

        /** Maximum duration of an order call; it has to end before the lease expires. */
        val MAX_ORDER_TIME = 600.milliseconds

        /** Items of a step that one slot of an engine runs in sequence, for an objective of a few seconds. */
        const val ITEMS_PER_SLOT = 1.0

        /** Allows all slots to be used: the demand counts all items of the steps, and no other work is added. */
        val Policy = SizingPolicy(utilization = 1.0)

        /** Time from a target's start to its first announcement: somewhat more than a heartbeat interval. */
        val STARTUP_MARGIN = 3.seconds

        /** Relative price in a data centre for which the operator sets none. */
        const val DEFAULT_PRICE = 1.0

        /** Backoff after an order that did not succeed, per service and data centre. */
        val REFUSED_BACKOFF = 2.seconds
    }
}
