package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.order.SizingPolicy
import dev.vanillarun.core.order.TargetDemand
import dev.vanillarun.core.order.TargetSizing
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.TargetOrder
import dev.vanillarun.core.platform.TargetOrdering
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Input for the target orders of one data centre. */
public interface DemandSource {
    /** Spending rules of the data centre's routes. */
    public fun rules(): List<SpendingRule>

    /** Returns the demand for targets of [route], or null while it is unknown. */
    public fun demand(route: RouteName): TargetDemand?

    /** Returns the current number of targets of [route]. */
    public fun targetCount(route: RouteName): Int
}

/**
 * Orders targets for one data centre while the lease of the duty is held.
 *
 * A new holder starts from the current number of targets, so that a change of holder never releases targets early.
 */
public class TargetOrderDuty(
    private val runner: DutyRunner,
    private val source: DemandSource,
    private val ordering: TargetOrdering,
    private val issuer: InstanceId,
    private val policy: SizingPolicy = SizingPolicy(),
    private val interval: Duration = 5.seconds,
    private val timeout: Duration = 2.seconds,
    private val clock: MonotonicClock = SystemClock,
) {
    private var term: Offset? = null
    private var sizings: Map<RouteName, TargetSizing> = emptyMap()
    private var confirmedCounts: Map<RouteName, Int> = emptyMap()
    private var unconfirmedOrders: Map<RouteName, TargetOrder> = emptyMap()
    private var nextOrderNumber = 0L

    /** Performs the duty whenever the lease is held, until the calling coroutine is cancelled. */
    public suspend fun run(): Nothing {
        while (true) {
            val held = runner.state.value.term
            if (held != term) startTerm(held)
            if (held != null) source.rules().forEach { adjust(it, held) }
            delay(interval)
        }
    }

    private fun startTerm(held: Offset?) {
        term = held
        sizings = emptyMap()
        confirmedCounts = emptyMap()
        unconfirmedOrders = emptyMap()
    }

    private suspend fun adjust(rule: SpendingRule, held: Offset) {
        val demand = source.demand(rule.route) ?: return
        val before = sizings[rule.route] ?: TargetSizing(source.targetCount(rule.route))
        val sizing = before.adjust(demand, rule, policy, clock.now())
        sizings = sizings + (rule.route to sizing)
        if (confirmedCounts[rule.route] != sizing.desired) send(order(rule, sizing.desired, held))
    }

    /** Returns the unconfirmed order if it has this [desired] count, so that a retry is idempotent; or a new one. */
    private fun order(rule: SpendingRule, desired: Int, held: Offset): TargetOrder {
        val order = unconfirmedOrders[rule.route]?.takeIf { it.desired == desired } ?: TargetOrder(
            id = "$issuer-$held-${nextOrderNumber++}",
            dataCentre = rule.dataCentre,
            route = rule.route,
            desired = desired,
            term = held,
            issuer = issuer,
        )
        unconfirmedOrders = unconfirmedOrders + (rule.route to order)
        return order
    }

    private suspend fun send(order: TargetOrder) {
        val result = runner.perform(timeout) { current, guard ->
            if (current == order.term) ordering.order(order, guard, timeout) else PlatformResult.Withheld
        }
        if (result is PlatformResult.Answered) {
            confirmedCounts = confirmedCounts + (order.route to order.desired)
            unconfirmedOrders = unconfirmedOrders - order.route
        }
    }
}
