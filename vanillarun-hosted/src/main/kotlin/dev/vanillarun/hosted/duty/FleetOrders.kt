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
 * Orders engines as the jobs demand; acts only while this instance holds the duty.
 *
 * Items of jobs go on elsewhere after their last event, so what is added to the fleet is reclaimable where such targets
 * are offered, and firm ones stay as they are. Where only firm ones are to be had, those that are there are not moved.
 */
internal class FleetOrders(
    private val duty: ControlDuty,
    private val calls: HostingCalls,
    private val inputs: LoadInputs,
    private val self: InstanceId,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private data class Subject(val service: String, val dataCentre: DataCentre)

    private var term: Offset? = null
    private val sizings = HashMap<String, TargetSizing>()
    private val ordered = HashMap<Subject, PlacedOrder>()
    private val pausedUntil = HashMap<Subject, Instant>()

    /** Acts until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            if (duty.mayAct(ORDER_TIME)) act()
            delay(TICK)
        }
    }

    private suspend fun act() {
        if (duty.heldTerm != term) startTerm()
        val isCurrent = inputs.replicas.follower.age(clock.now())?.let { it < CURRENT } ?: false
        val catalog = inputs.catalog.catalog.value?.takeIf { isCurrent } ?: return
        catalog.services.values.filter { it.models.isNotEmpty() }
            .forEach { service -> service.spending?.let { follow(catalog, service, it) } }
    }

    private fun startTerm() {
        term = duty.heldTerm
        sizings.clear()
        ordered.clear()
    }

    private suspend fun follow(catalog: Catalog, service: CatalogService, spending: ServiceSpending) {
        val engines = inputs.replicas.of(service.name)
        if (engines.isEmpty()) return
        val places = spending.prices.keys.ifEmpty { engines.mapTo(HashSet()) { it.dataCentre } }
        val demand = TargetDemand(
            repeatable = unfinished(catalog, service.name) / ITEMS_A_SLOT,
            firm = 0.0,
            concurrency = service.slots ?: engines.maxOf { it.slots },
        )
        val bounds = spending.bounds.first * places.size..spending.bounds.last * places.size
        val sizing = (sizings[service.name] ?: TargetSizing(engines.size)).follow(demand, bounds, Sizing, clock.now())
        sizings[service.name] = sizing
        val grows = sizing.desired >= engines.size
        val fleets = places.map { fleet(Subject(service.name, it), spending, engines, grows) }
        val wanted = spreadTargets(sizing.desired, fleets)
        fleets.forEach { settle(Subject(service.name, it.dataCentre), it, wanted.getValue(it.dataCentre), spending) }
    }

    /** Items of open jobs that [service] has still to run. */
    private fun unfinished(catalog: Catalog, service: String): Double =
        inputs.jobs.table.value.jobs.values.filter { it.open }.sumOf { view ->
            val job = view.job
            val route = job?.let { catalog.route(it.host, it.path) }
            val leads = route?.services.orEmpty().any { it.service == service }
            if (job != null && leads) job.items.size - view.results.size else 0
        }.toDouble()

    private fun fleet(subject: Subject, spending: ServiceSpending, engines: List<Replica>, grows: Boolean) =
        engines.filter { it.dataCentre == subject.dataCentre }.let { here ->
            val reclaimable = spending.reclaimablePrice != null
            val present = here.count { it.reclaimable == reclaimable }
            DataCentreFleet(
                dataCentre = subject.dataCentre,
                others = here.size - present,
                present = present,
                kept = if (grows && !reclaimable) present else 0,
                ceiling = spending.bounds.last,
                price = spending.prices[subject.dataCentre] ?: FULL_PRICE,
                soldOut = isPaused(subject),
            )
        }

    private fun isPaused(subject: Subject) = pausedUntil[subject]?.let { clock.now() < it } ?: false

    private suspend fun settle(subject: Subject, fleet: DataCentreFleet, desired: Int, spending: ServiceSpending) {
        ordered.computeIfPresent(subject) { _, placed -> placed.observed(fleet.present) }
        val due = ordered[subject].isDue(desired, fleet.present, clock.now(), spending.startup + START_MARGIN)
        val reclaimable = spending.reclaimablePrice != null
        if (due && !fleet.soldOut) order(subject, FleetOrder(subject.service, subject.dataCentre, desired, reclaimable))
    }

    private suspend fun order(subject: Subject, order: FleetOrder) {
        val result = duty.perform(ORDER_TIME) { term -> calls.orderTargets(order, FencingToken(self, term)) }
        val what = mapOf(
            "service" to order.service,
            "data_centre" to order.dataCentre.name,
            "desired" to "${order.desired}",
            "reclaimable" to "${order.reclaimable}",
            "result" to "$result",
        )
        events.record("targets.ordered", EventLinks(duty = duty.name), what)
        if (result == PlatformResult.Answered(FleetAnswer.ORDERED)) {
            ordered[subject] = PlacedOrder(order.desired, clock.now())
        } else {
            pausedUntil[subject] = clock.now() + REFUSED_PAUSE
        }
    }

    private companion object {
        val TICK = 250.milliseconds

        /** Age up to which the list of targets is good enough to order others. */
        val CURRENT = 900.milliseconds

        /** Longest call of an order; has to fit into what is left of the lease. */
        val ORDER_TIME = 600.milliseconds

        /** Items of a step that a place at an engine is to run one after the other, within an objective of seconds. */
        const val ITEMS_A_SLOT = 1.0

        /** All places may be taken while a step runs: its items are what is counted, and none comes on top. */
        val Sizing = SizingPolicy(utilization = 1.0)

        /** Time after its start until a target has announced itself, a heartbeat and more. */
        val START_MARGIN = 3.seconds

        /** Price where the operator names none. */
        const val FULL_PRICE = 1.0

        /** Pause before targets are ordered again where an order was refused. */
        val REFUSED_PAUSE = 2.seconds
    }
}
