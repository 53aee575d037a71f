package dev.vanillarun.core.config

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.key.KeyIndex

/**
 * Validates complete configurations. Reports all problems, not only the first.
 *
 * ```
 * ConfigValidator.validate(config).forEach { println("${it.key}: ${it.message}") }
 * ```
 */
public object ConfigValidator {
    /** All problems of [config]; empty if it may be published. */
    public fun validate(config: RolloutConfig): List<ConfigProblem> {
        val list = ProblemList()
        list.checkCustomers(config.customers)
        list.checkPriorities(config.priorities)
        list.checkRoutes(config)
        list.checkTargets(config)
        list.checkSpending(config)
        list.checkEvacuated(config)
        return list.problems
    }
}

private fun ProblemList.checkCustomers(customers: List<Customer>) {
    checkDistinct(customers.map { it.id }) { "customers[$it].id" }
    customers.forEachIndexed { i, customer ->
        val key = "customers[$i]"
        checkName(customer.id.value, "$key.id")
        checkRange(customer.weight.toLong(), WEIGHT_RANGE, "$key.weight")
        checkRange(customer.maxConcurrency.toLong(), CONCURRENCY_RANGE, "$key.max_concurrency")
        checkRange(customer.tokensPerSecond, TOKENS_PER_SECOND_RANGE, "$key.tokens_per_second")
    }
    val keys = customers.flatMapIndexed { i, customer ->
        customer.keys.mapIndexed { k, key -> "customers[$i].keys[$k]" to key }
    }
    checkDistinct(keys.map { (_, key) -> key.id }) { "${keys[it].first}.id" }
    checkDistinct(keys.map { (_, key) -> key.sha256 }) { "${keys[it].first}.sha256" }
    for ((path, key) in keys) {
        checkName(key.id, "$path.id")
        check(SHA256_HEX.matches(key.sha256), "$path.sha256") {
            "has to be 64 lower-case hexadecimal digits, the hash of a secret; make one with `vanillarun key new`"
        }
    }
}

private fun ProblemList.checkEvacuated(config: RolloutConfig) {
    val known = config.targets.map { it.dataCentre }.distinct().sortedBy { it.name }
    checkDistinct(config.evacuated) { "evacuated[$it]" }
    config.evacuated.forEachIndexed { i, dataCentre ->
        checkReference(dataCentre in known, "evacuated[$i]") {
            "there is no target in \"$dataCentre\"; use one of ${known.joinToString()}"
        }
    }
}

private fun ProblemList.checkPriorities(priorities: List<PriorityClass>) {
    checkReference(priorities.isNotEmpty(), "priorities") {
        "there is no priority class; list the classes, the most important first"
    }
    checkDistinct(priorities.map { it.name }) { "priorities[$it].name" }
    priorities.forEachIndexed { i, priority ->
        checkName(priority.name, "priorities[$i].name")
        checkRange(priority.yieldPercent.toLong(), YIELD_PERCENT_RANGE, "priorities[$i].yield_percent")
    }
}

private fun ProblemList.checkRoutes(config: RolloutConfig) {
    val customers = config.customers.mapTo(HashSet()) { it.id }
    val priorities = config.priorities.map { it.name }
    val served = config.targets.flatMapTo(HashSet()) { it.routes }
    checkDistinct(config.routes.map { it.name }) { "routes[$it].name" }
    checkDistinctOf(config.routes, RouteKind.MODEL, "model") { it.model }
    checkDistinctOf(config.routes, RouteKind.SERVICE, "path") { it.path }
    config.routes.forEachIndexed { i, route ->
        val key = "routes[$i]"
        checkRoute(route, key)
        checkCustomersOf(route, customers, key)
        checkReference(route.priority in priorities, "$key.priority") {
            "there is no class \"${route.priority}\"; use one of ${priorities.joinToString()} or add it to priorities"
        }
        checkReference(route.name in served, "$key.name") {
            "no target serves \"${route.name}\"; name it in a target's routes"
        }
    }
}

private fun ProblemList.checkDistinctOf(
    routes: List<Route>,
    kind: RouteKind,
    field: String,
    value: (Route) -> String,
) {
    val chosen = routes.withIndex().filter { it.value.kind == kind && value(it.value).isNotEmpty() }
    checkDistinct(chosen.map { value(it.value) }) { "routes[${chosen[it].index}].$field" }
}

private fun ProblemList.checkRoute(route: Route, key: String) {
    checkName(route.name.value, "$key.name")
    when (route.kind) {
        RouteKind.MODEL -> {
            check(route.model.isNotBlank(), "$key.model") { "is missing; name the model that callers send" }
            check(route.path.isEmpty(), "$key.path") { "belongs to service routes; remove it" }
        }

        RouteKind.SERVICE -> {
            check(PATH_PATTERN.matches(route.path), "$key.path") {
                "has to be a path such as /loans, without a slash at its end, but is \"${route.path}\""
            }
            check(RESERVED_PATHS.none { route.path == it || route.path.startsWith("$it/") }, "$key.path") {
                "\"${route.path}\" belongs to the system; choose a path outside ${RESERVED_PATHS.joinToString()}"
            }
            check(route.model.isEmpty(), "$key.model") { "belongs to model routes; remove it" }
        }
    }
    for (method in route.idempotentMethods) {
        check(method in HTTP_METHODS, "$key.idempotent_methods") {
            "\"$method\" is not an HTTP method; use some of ${HTTP_METHODS.joinToString()}"
        }
    }
    checkRange(route.deadlineMs, DEADLINE_MS_RANGE, "$key.deadline_ms")
    checkRange(route.maxVersionLag, VERSION_LAG_RANGE, "$key.max_version_lag")
    checkRange(route.queueLimit.toLong(), QUEUE_LIMIT_RANGE, "$key.queue_limit")
}

private fun ProblemList.checkCustomersOf(route: Route, known: Set<CustomerId>, key: String) {
    check(!route.open || route.customers.isEmpty(), "$key.open") {
        "the route is open to all and yet lists customers; remove one of the two"
    }
    route.customers.forEachIndexed { c, customer ->
        checkReference(customer in known, "$key.customers[$c]") {
            "there is no customer \"$customer\"; correct the name or add the customer"
        }
    }
}

private fun ProblemList.checkTargets(config: RolloutConfig) {
    val routes = config.routes.associateBy { it.name }
    val hashes = config.customers.flatMapTo(HashSet()) { customer -> customer.keys.map { it.sha256 } }
    checkDistinct(config.targets.map { it.id }) { "targets[$it].id" }
    checkDistinct(config.targets.map { it.address }) { "targets[$it].address" }
    config.targets.forEachIndexed { i, target ->
        val key = "targets[$i]"
        checkName(target.id.value, "$key.id")
        check(ADDRESS_PATTERN.matches(target.address), "$key.address") {
            "has to be like http://10.0.0.5:9001, an IP number and a port without a path, but is \"${target.address}\""
        }
        checkRange(target.concurrency.toLong(), CONCURRENCY_RANGE, "$key.concurrency")
        checkRange(target.costPerHourMilli, COST_PER_HOUR_MILLI_RANGE, "$key.cost_per_hour_milli")
        check(CREDENTIAL_PATTERN.matches(target.credential), "$key.credential") {
            "has to be 1 to 256 printable characters without blanks; give the target a credential of its own"
        }
        check(KeyIndex.hexOf(target.credential) !in hashes, "$key.credential") {
            "is the key of a customer, which no target may see; give the target a credential of its own"
        }
        checkRoutesOf(target, routes, key)
    }
}

private fun ProblemList.checkRoutesOf(target: Target, known: Map<RouteName, Route>, key: String) {
    check(target.routes.isNotEmpty(), "$key.routes") { "is empty; name the routes that the target serves" }
    target.routes.forEachIndexed { r, name ->
        val route = known[name]
        checkReference(route != null, "$key.routes[$r]") {
            "there is no route \"$name\"; correct the name or add the route"
        }
        checkReference(route == null || routeKindOf(target.kind) == route.kind, "$key.routes[$r]") {
            "\"$name\" is a route of another kind; engines serve model routes and services service routes"
        }
    }
}

private fun routeKindOf(kind: TargetKind): RouteKind = when (kind) {
    TargetKind.ENGINE -> RouteKind.MODEL
    TargetKind.SERVICE -> RouteKind.SERVICE
}

private fun ProblemList.checkSpending(config: RolloutConfig) {
    val routes = config.routes.mapTo(HashSet()) { it.name }
    checkDistinct(config.spending.map { "${it.route} in ${it.dataCentre}" }) { "spending[$it].route" }
    config.spending.forEachIndexed { i, rule ->
        val key = "spending[$i]"
        checkReference(rule.route in routes, "$key.route") {
            "there is no route \"${rule.route}\"; correct the name or add the route"
        }
        checkReference(config.targets.any { it.dataCentre == rule.dataCentre }, "$key.data_centre") {
            "no target is in \"${rule.dataCentre}\"; correct the name or add a target"
        }
        checkRange(rule.floor.toLong(), TARGET_COUNT_RANGE, "$key.floor")
        checkRange(rule.ceiling.toLong(), TARGET_COUNT_RANGE, "$key.ceiling")
        check(rule.ceiling >= rule.floor, "$key.ceiling") {
            "is ${rule.ceiling}, below the floor of ${rule.floor}; raise it or lower the floor"
        }
    }
}

private val WEIGHT_RANGE = 1L..10_000L
private val CONCURRENCY_RANGE = 1L..100_000L
private val TOKENS_PER_SECOND_RANGE = 0L..1_000_000_000L
private val YIELD_PERCENT_RANGE = 0L..50L
private val DEADLINE_MS_RANGE = 1L..3_600_000L
private val VERSION_LAG_RANGE = 0L..1_000L
private val QUEUE_LIMIT_RANGE = 1L..100_000L
private val COST_PER_HOUR_MILLI_RANGE = 0L..1_000_000_000L
private val TARGET_COUNT_RANGE = 0L..10_000L
private val SHA256_HEX = Regex("[0-9a-f]{64}")
private val PATH_PATTERN = Regex("(/[A-Za-z0-9._~-]+)+")
private val ADDRESS_PATTERN = Regex("""https?://(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+]):\d{1,5}""")
private val CREDENTIAL_PATTERN = Regex("[!-~]{1,256}")
private val HTTP_METHODS = listOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
private val RESERVED_PATHS = listOf("/v1/chat/completions", "/v1/completions", "/v1/models", "/v1/rollouts")
