package dev.vanillarun.hosted.duty

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.order.LoadTiming
import dev.vanillarun.core.order.RolloutLimits
import dev.vanillarun.core.order.StepOfModel
import dev.vanillarun.core.order.WeightReplica
import dev.vanillarun.core.order.dueEngines
import dev.vanillarun.core.order.planWeightLoads
import dev.vanillarun.core.placement.ModelPlacement
import dev.vanillarun.core.placement.placeModels
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.job.JobBoard
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.target.TargetBook
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What [WeightLoads] looks at. */
internal class LoadInputs(
    val catalog: CatalogSource,
    val replicas: ReplicaSource,
    val placement: PlacementBoard,
    val jobs: JobBoard,
    val book: TargetBook,
)

/**
 * Places models on engines and brings the newest weights there; acts only while this instance holds the duty.
 *
 * An engine is asked for its state before each order, and the order names the state that it is based on. An order whose
 * answer was lost may be carried out seconds later; the next one is sent only on the ground of a newer state.
 */
internal class WeightLoads(
    private val duty: ControlDuty,
    private val calls: HostingCalls,
    private val inputs: LoadInputs,
    private val placements: DurableAppender,
    private val self: InstanceId,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private data class Load(val since: Instant, val failures: Int = 0, val failedAt: Instant? = null)

    private data class Named(val version: WeightVersion, val since: Instant)

    private val named = HashMap<String, Named>()
    private val loads = ConcurrentHashMap<TargetId, Load>()
    private val underWay = ConcurrentHashMap.newKeySet<TargetId>()

    /** Acts until the calling coroutine is cancelled. */
    suspend fun run(): Nothing = coroutineScope {
        while (true) {
            if (duty.mayAct(ORDER_TIME)) act(this)
            delay(TICK)
        }
        @Suppress("UNREACHABLE_CODE")
        error("ends by cancellation only")
    }

    private suspend fun act(scope: CoroutineScope) {
        val catalog = inputs.catalog.catalog.value ?: return
        catalog.services.values.filter { it.models.isNotEmpty() }.forEach { service ->
            val engines = inputs.replicas.of(service.name)
            if (engines.isEmpty()) return@forEach
            val before = inputs.placement.placement.value
            val placement = placeModels(service.models, engines, before)
            if (placement != before) placements.append(PlacementBoard.record(placement))
            service.models.sortedByDescending { behind(it, engines, placement) }
                .forEach { model -> load(scope, model, engines, placement) }
        }
    }

    /** Versions by which the most outdated engine of [model] is behind; jobs wait for an engine that is far behind. */
    private fun behind(model: String, engines: List<Replica>, placement: ModelPlacement): Long {
        val named = inputs.catalog.named.value[model]?.number ?: return 0
        val placed = placement.enginesOf(model)
        return engines.filter { it.id in placed }.maxOfOrNull { named - inputs.book.weights(it, model) } ?: 0
    }

    private fun load(scope: CoroutineScope, model: String, engines: List<Replica>, placement: ModelPlacement) {
        val version = inputs.catalog.named.value[model] ?: return
        val placed = placement.enginesOf(model)
        val now = clock.now()
        val steps = inputs.jobs.table.value.jobs.values.mapNotNull { it.step(model) }
        val own = engines.filter { it.id in placed }
        val versions = own.associate { it.id to inputs.book.weights(it, model) }
        val due = LoadTiming(version.number, namedFor(model, version), versions, steps).dueEngines()
        val known = own.filter { it.id in due || it.id in underWay }.map { it.seen(model) }
        val reading = underWay.count { id -> loads[id]?.let { now - it.since < LOAD_TIME } ?: false }
        val limits = RolloutLimits(
            maxLoading = known.count { it.loadingSince != null } +
                maxOf(MOST_LOADING, engines.size / ENGINES_A_LOAD) - reading,
            maxLoadingPart = if (steps.any { it.open }) HALF else 1.0,
            loadTimeout = LOAD_TIMEOUT,
            retryPause = RETRY_PAUSE,
        )
        planWeightLoads(known, version, limits, now).forEach { id ->
            val engine = engines.first { it.id == id }
            if (underWay.add(id)) {
                loads.compute(id) { _, before -> (before ?: Load(now)).copy(since = now) }
                scope.launch { bring(engine, model, version) }
            }
        }
    }

    private fun JobView.step(model: String): StepOfModel? =
        job?.takeIf { it.model == model }?.let { StepOfModel(it.minVersion, open) }

    /** How long [version] of [model] has been the newest here. */
    private fun namedFor(model: String, version: WeightVersion): Duration {
        val known = named[model]?.takeIf { it.version == version } ?: Named(version, clock.now())
        named[model] = known
        return clock.now() - known.since
    }

    private fun Replica.seen(model: String): WeightReplica {
        val load = loads[id]
        return WeightReplica(
            target = id,
            dataCentre = dataCentre,
            routes = setOf(RouteName(model)),
            version = WeightVersion(inputs.book.weights(this, model)),
            loadingSince = load?.since.takeIf { id in underWay },
            failures = load?.failures ?: 0,
            failedAt = load?.failedAt,
        )
    }

    private suspend fun bring(engine: Replica, model: String, version: WeightVersion) {
        val since = clock.now()
        try {
            val loaded = ordered(engine, model, version)
            val failed = loads[engine.id]?.failures ?: 0
            loads[engine.id] = if (loaded) Load(since) else Load(since, failed + 1, clock.now())
            val took = "${(clock.now() - since).inWholeMilliseconds}"
            note(if (loaded) "weights.loaded" else "weights.failed", engine, model, version, "elapsed_ms" to took)
            if (loaded) publish(engine, model)
        } finally {
            underWay.remove(engine.id)
        }
    }

    private suspend fun publish(engine: Replica, model: String) {
        val version = WeightVersion(inputs.book.weights(engine, model))
        val loaded = LoadedWeights(engine.id, engine.startedAt, model, version)
        placements.offer(PlacementBoard.record(loaded), PUBLISH_TIME)
    }

    /** Orders [version] and waits until [engine] says that it serves it. */
    private suspend fun ordered(engine: Replica, model: String, version: WeightVersion): Boolean {
        val engineStatus = calls.engineStatus(engine) ?: return false
        return when {
            serves(engineStatus, engine, model, version) -> true
            !engineStatus.busy && !give(engine, model, version, engineStatus) -> false
            else -> awaitLoad(engine, model, version, engineStatus)
        }
    }

    private suspend fun awaitLoad(
        engine: Replica,
        model: String,
        version: WeightVersion,
        before: EngineStatus,
    ): Boolean {
        val until = clock.now() + LOAD_TIMEOUT
        delay(SHORTEST_LOAD)
        while (clock.now() < until) {
            delay(REPORT_PAUSE)
            val next = calls.engineStatus(engine)
            if (next != null && serves(next, engine, model, version)) return true
            if (next != null && !next.busy && next.acceptedOrders == before.acceptedOrders) return false
        }
        return false
    }

    private fun serves(engineStatus: EngineStatus, engine: Replica, model: String, version: WeightVersion): Boolean {
        val served = engineStatus.weights[model] ?: return false
        inputs.book.serves(engine, model, served)
        return served >= version
    }

    private suspend fun give(engine: Replica, model: String, version: WeightVersion, engineStatus: EngineStatus): Boolean {
        val single = inputs.catalog.catalog.value?.routes.orEmpty().any { route ->
            route.singleVersion && route.services.any { it.service == engine.service }
        }
        val inFlight = if (single) InFlightPolicy.FINISH else InFlightPolicy.CONTINUE
        val order = LoadOrder(model, version, inFlight, engineStatus.acceptedOrders)
        val answer = duty.perform(ORDER_TIME) { term -> calls.order(engine, order, FencingToken(self, term)) }
        note("weights.ordered", engine, model, version, "based_on" to "${order.basedOn}", "answer" to "$answer")
        return when (answer) {
            is PlatformResult.Answered -> answer.value == OrderAnswer.ACCEPTED || answer.value == OrderAnswer.HOLDS
            is PlatformResult.InDoubt -> true
            is PlatformResult.Refused, PlatformResult.Withheld, null -> false
        }
    }

    private fun note(
        name: String,
        engine: Replica,
        model: String,
        version: WeightVersion,
        vararg more: Pair<String, String>,
    ) {
        val what = mapOf("target" to engine.id.value, "model" to model, "version" to "${version.number}") + more
        events.record(name, EventLinks(duty = duty.name), what)
    }

    private companion object {
        val TICK = 100.milliseconds

        /** Longest call of an order; has to fit into what is left of the lease. */
        val ORDER_TIME = 600.milliseconds

        /** Engines that load at a time without slowing each other down, as the operators state for today's fleets. */
        const val MOST_LOADING = 2

        /** Part of a model's engines that may load while a step is served. */
        const val HALF = 0.5

        /** On larger fleets one of so many engines may load at a time. */
        const val ENGINES_A_LOAD = 4
        val LOAD_TIMEOUT = 5.seconds
        val RETRY_PAUSE = 300.milliseconds

        /** Time for which a load takes up the weight store; what follows is the wait for the engine's own word. */
        val LOAD_TIME = 950.milliseconds

        /** Part of a load of about 0.9 s in which it is not worth asking whether it has ended. */
        val SHORTEST_LOAD = 750.milliseconds

        /** Pause between two questions to an engine that loads; each has its price. */
        val REPORT_PAUSE = 200.milliseconds

        /** Time for publishing a load; the engine's own heartbeat tells of it soon after. */
        val PUBLISH_TIME = 1.seconds
    }
}
