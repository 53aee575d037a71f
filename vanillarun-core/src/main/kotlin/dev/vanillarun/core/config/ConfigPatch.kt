package dev.vanillarun.core.config

import dev.vanillarun.core.zone.DataCentre
import kotlinx.serialization.Serializable

/** Difference between two lists whose elements are identified by a key. */
@Serializable
public data class ListPatch<T>(
    /** Elements that are new or changed, as whole elements. */
    public val upserts: List<T> = emptyList(),
    /** Keys of the removed elements. */
    public val removed: List<String> = emptyList(),
) {
    /** Number of added, changed and removed elements. */
    public val size: Int get() = upserts.size + removed.size
}

/**
 * Difference between two configurations, so that a small change needs only a small log record.
 *
 * ```
 * val patch = before.diff(after)
 * before.patched(patch) == after.canonical()
 * ```
 */
@Serializable
public data class ConfigPatch(
    /** Customers, by id. */
    public val customers: ListPatch<Customer> = ListPatch(),
    /** Routes, by name. */
    public val routes: ListPatch<Route> = ListPatch(),
    /** Targets, by id. */
    public val targets: ListPatch<Target> = ListPatch(),
    /** All priority classes in order; null if unchanged. */
    public val priorities: List<PriorityClass>? = null,
    /** Spending rules, by route and data centre. */
    public val spending: ListPatch<SpendingRule> = ListPatch(),
    /** All evacuated data centres in order of their names; null if unchanged. */
    public val evacuated: List<DataCentre>? = null,
) {
    /** True if the configurations are equal in canonical order. */
    public val isEmpty: Boolean
        get() = listOf(customers, routes, targets, spending).all { it.size == 0 } &&
            priorities == null &&
            evacuated == null
}

private val customerKey: (Customer) -> String = { it.id.value }
private val routeKey: (Route) -> String = { it.name.value }
private val targetKey: (Target) -> String = { it.id.value }
private val spendingKey: (SpendingRule) -> String = { "${it.route}@${it.dataCentre}" }

/** The same configuration with keyed lists sorted by key. Priority classes keep their order, which has a meaning. */
public fun RolloutConfig.canonical(): RolloutConfig = RolloutConfig(
    customers = customers.sortedBy(customerKey),
    routes = routes.sortedBy(routeKey),
    targets = targets.sortedBy(targetKey),
    priorities = priorities,
    spending = spending.sortedBy(spendingKey),
    evacuated = evacuated.distinct().sortedBy { it.name },
)

/** Patch that turns this configuration into [next]. */
public fun RolloutConfig.diff(next: RolloutConfig): ConfigPatch = ConfigPatch(
    customers = customers.diffBy(next.customers, customerKey),
    routes = routes.diffBy(next.routes, routeKey),
    targets = targets.diffBy(next.targets, targetKey),
    priorities = next.priorities.takeIf { it != priorities },
    spending = spending.diffBy(next.spending, spendingKey),
    evacuated = next.canonical().evacuated.takeIf { it != canonical().evacuated },
)

/** This configuration with [patch] applied, in canonical order. */
public fun RolloutConfig.patched(patch: ConfigPatch): RolloutConfig = RolloutConfig(
    customers = customers.patchedBy(patch.customers, customerKey),
    routes = routes.patchedBy(patch.routes, routeKey),
    targets = targets.patchedBy(patch.targets, targetKey),
    priorities = patch.priorities ?: priorities,
    spending = spending.patchedBy(patch.spending, spendingKey),
    evacuated = patch.evacuated ?: canonical().evacuated,
)

private fun <T> List<T>.diffBy(next: List<T>, key: (T) -> String): ListPatch<T> {
    val before = associateBy(key)
    val after = next.associateBy(key)
    return ListPatch(
        upserts = after.filter { (name, element) -> before[name] != element }.values.toList(),
        removed = before.keys.minus(after.keys).sorted(),
    )
}

private fun <T> List<T>.patchedBy(patch: ListPatch<T>, key: (T) -> String): List<T> {
    val kept = associateBy(key) - patch.removed.toSet()
    return (kept + patch.upserts.associateBy(key)).toSortedMap().values.toList()
}
