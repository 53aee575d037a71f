package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.admission.FairQueue
import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.routing.PrefixHolders
import dev.vanillarun.core.routing.RouteShare
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.config.ActiveConfig
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The queues of all routes. When the rules of a route change, new requests use a new queue and the old one drains. */
public class RouteQueues(
    private val pool: TargetPool,
    private val prefixes: PrefixHolders,
    private val clock: MonotonicClock,
) {
    private data class Rules(val priorities: List<PriorityClass>, val limit: Int)

    private class Entry(val rules: Rules, val queue: RouteQueue)

    private val entries = ConcurrentHashMap<RouteName, Entry>()
    private val retired = ConcurrentHashMap.newKeySet<RouteQueue>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var weights: Map<CustomerId, Int> = emptyMap()

    /** This instance's share of a route's targets, computed from the demand that instances exchange in heartbeats. */
    @Volatile
    public var shares: (RouteName, demand: Int) -> RouteShare = { _, _ -> RouteShare.Whole }

    @Volatile
    private var sharesRefreshedAt: Instant? = null

    /** Applies the routes, priority classes and customer weights of [config]. */
    public fun update(config: ActiveConfig) {
        weights = config.config.customers.associate { it.id to it.weight }
        val names = config.config.routes.associateBy { it.name }
        entries.keys.filter { it !in names }.forEach { name -> entries.remove(name)?.let { retired += it.queue } }
        names.values.forEach { route -> refresh(route, Rules(config.config.priorities, route.queueLimit)) }
    }

    private fun refresh(route: Route, rules: Rules) {
        entries.compute(route.name) { name, old ->
            if (old?.rules == rules) return@compute old
            old?.let { retired += it.queue }
            val fairQueue = FairQueue<Waiter>(rules.priorities, rules.limit) { weights[it] ?: 1 }
            Entry(rules, RouteQueue(name, fairQueue, pool, prefixes, clock) { wake.trySend(Unit) })
        }
    }

    /** The queue of [route], or null if the configuration has no such route. */
    public operator fun get(route: RouteName): RouteQueue? = entries[route]?.queue

    /**
     * Polls the queues at each [tick] while requests are queued, since targets also become free without a notification,
     * and samples the demand. Suspends while all queues are idle.
     */
    public suspend fun run(tick: Duration): Nothing {
        while (true) {
            val queues = entries.values.map { it.queue } + retired
            when {
                queues.any { it.waiting > 0 } -> delay(tick)
                queues.all { it.isIdle } -> wake.receive()
                else -> withTimeoutOrNull(SHARE_INTERVAL) { wake.receive() }
            }
            poll()
        }
    }

    /** Grants and expires what is due in all queues. */
    public fun poll() {
        refreshShares()
        entries.values.forEach { it.queue.poll() }
        retired.forEach { it.poll() }
        retired.removeIf { it.waiting == 0 }
    }

    private fun refreshShares() {
        val now = clock.now()
        val last = sharesRefreshedAt
        if (last != null && now - last < SHARE_INTERVAL) return
        sharesRefreshedAt = now
        entries.forEach { (route, entry) ->
            entry.queue.sampleDemand()
            entry.queue.share = shares(route, entry.queue.demand.roundToInt())
        }
    }

    /** Share of the capacity of the targets of [route] that this instance may use. */
    public fun share(route: RouteName): RouteShare = entries[route]?.queue?.share ?: RouteShare.Whole

    /** Number of requests queued or in progress by route, averaged over about one second. */
    public fun demand(): Map<RouteName, Int> = entries.mapValues { it.value.queue.demand.roundToInt() }

    /** Number of queued requests by route. */
    public fun waiting(): Map<RouteName, Int> = entries.mapValues { it.value.queue.waiting }

    private companion object {
        /** Interval at which demand is sampled and shares are recomputed. */
        val SHARE_INTERVAL = 100.milliseconds
    }
}
