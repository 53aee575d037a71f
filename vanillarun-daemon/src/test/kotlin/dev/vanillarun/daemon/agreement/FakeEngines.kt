package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.config.TargetKind
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.order.EngineOrdering
import dev.vanillarun.core.order.WeightOrder
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.platform.WeightStore
import dev.vanillarun.core.platform.WeightVersions
import dev.vanillarun.core.zone.DataCentre
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An order that reached an engine; [atMs] is its arrival time in virtual milliseconds. */
internal data class ReceivedOrder(val target: TargetId, val term: Offset, val version: WeightVersion, val atMs: Long)

/** Probabilities, in percent, of faults of orders. */
internal class EngineFaults(
    /** Orders lost before they reach the engine, in percent. */
    val lostOrders: Int = 0,
    /** Orders that reach the engine but whose response is lost, in percent. */
    val lostResponses: Int = 0,
    /** Weight loads that fail, in percent. */
    val failedLoads: Int = 0,
)

/** In-memory engines and weight store. As over a network, a load continues after its caller is cancelled. */
internal class FakeEngines(
    private val scope: CoroutineScope,
    private val random: Random,
    private val currentTimeMs: () -> Long,
    count: Int,
    private val loadMs: IntRange,
) : EngineOrdering,
    WeightStore {
    private class Engine {
        val orderLock = Mutex()
        var version = WeightVersion(1)
        var highestTerm = Offset(-1)
        val executedIds = HashSet<String>()
        var loading = 0
    }

    val targets = List(count) { index ->
        Target(
            id = TargetId("e$index"),
            kind = TargetKind.ENGINE,
            address = "http://e$index",
            dataCentre = DataCentre(if (index % 2 == 0) "torino" else "novara"),
            routes = listOf(RouteName("r${index / ROUTE_COPIES}")),
            fenced = index % 2 == 0,
        )
    }
    private val engines = targets.associate { it.id to Engine() }

    @Volatile
    var faults = EngineFaults()

    @Volatile
    var newest = WeightVersion(1)

    /** Suspends the caller between its decision to send an order and the check of its guard. */
    var beforeGuard: suspend (WeightOrder) -> Unit = {}
    val receivedOrders = mutableListOf<ReceivedOrder>()
    var withheldCount = 0
        private set

    /** Maximum number of loading engines of a route beyond its limit so far; positive if the limit was exceeded. */
    var maxExcess = Int.MIN_VALUE
        private set

    fun served(): List<WeightVersion> = engines.values.map { it.version }

    override suspend fun versions(): PlatformResult<WeightVersions> =
        PlatformResult.Answered(WeightVersions(newest, listOf(newest)))

    override suspend fun version(engine: Target): WeightVersion {
        delay(1.milliseconds)
        return engines.getValue(engine.id).version
    }

    override suspend fun loadWeights(
        engine: Target,
        order: WeightOrder,
        guard: SendGuard,
        timeout: Duration,
    ): PlatformResult<Unit> {
        beforeGuard(order)
        if (!guard.permits()) {
            withheldCount++
            return PlatformResult.Withheld
        }
        if (occurs(faults.lostOrders)) return PlatformResult.InDoubt("lost")
        val loseResponse = occurs(faults.lostResponses)
        val load = scope.async { receive(engine, order) }
        val result = withTimeoutOrNull(timeout) { load.await() } ?: PlatformResult.InDoubt("timeout")
        return if (loseResponse) PlatformResult.InDoubt("response lost") else result
    }

    private suspend fun receive(target: Target, order: WeightOrder): PlatformResult<Unit> {
        val engine = engines.getValue(target.id)
        delay(1.milliseconds)
        receivedOrders += ReceivedOrder(target.id, order.term, order.version, currentTimeMs())
        engine.loading++
        recordExcess(target)
        try {
            return engine.orderLock.withLock { execute(target, engine, order) }
        } finally {
            engine.loading--
        }
    }

    private suspend fun execute(target: Target, engine: Engine, order: WeightOrder): PlatformResult<Unit> {
        if (target.fenced && order.term < engine.highestTerm) return PlatformResult.Refused("old term", 1.milliseconds)
        engine.highestTerm = maxOf(order.term, engine.highestTerm)
        if (!engine.executedIds.add(order.id)) return PlatformResult.Answered(Unit)
        delay(random.nextInt(loadMs.first, loadMs.last + 1).milliseconds)
        if (occurs(faults.failedLoads)) return PlatformResult.Refused("load failed", 1.milliseconds)
        engine.version = order.version
        return PlatformResult.Answered(Unit)
    }

    private fun recordExcess(target: Target) {
        val copies = targets.filter { it.routes == target.routes }
        val busy = copies.count { engines.getValue(it.id).loading > 0 }
        maxExcess = maxOf(maxExcess, busy - maxOf(1, copies.size / 2))
    }

    private fun occurs(percent: Int) = random.nextInt(PERCENT) < percent

    private companion object {
        const val PERCENT = 100
        const val ROUTE_COPIES = 7
    }
}
