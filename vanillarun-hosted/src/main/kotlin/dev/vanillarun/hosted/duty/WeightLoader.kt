package dev.vanillarun.hosted.duty

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.order.LoadTiming
import dev.vanillarun.core.order.ModelStep
import dev.vanillarun.core.order.RolloutLimits
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
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetTracker
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Views on which the holder of the control duty bases its orders. */
internal class ControlInputs(
    val catalog: CatalogSource,
    val replicas: ReplicaSource,
    val placement: PlacementBoard,
    val jobs: JobBoard,
    val tracker: TargetTracker,
    val departures: DepartureBoard,
    val gates: TargetGates = TargetGates(),
)

/**
 * Places models on engines and orders loads of the newest weights; acts only while this instance holds the duty.
 *
 * The state of an engine is read before each order, and the order names the state that it is based on. An order whose
 * response was lost may take effect seconds later; the next order is based on a state read after it.
 */
internal class WeightLoader(
    private val duty: ControlDuty,
    calls: HostingCalls,
    private val inputs: ControlInputs,
    private val placements: DurableAppender,
    private val self: InstanceId,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private data class LoadState(val since: Instant, val failures: Int = 0, val failedAt: Instant? = null)

    private data class NewestVersion(val version: WeightVersion, val since: Instant)

    private val engineCalls = GatedEngineCalls(calls, inputs.departures, inputs.gates, clock)
    private val newestVersions = HashMap<String, NewestVersion>()
    private val loadStates = ConcurrentHashMap<TargetId, LoadState>()
    private val loading = ConcurrentHashMap.newKeySet<TargetId>()

    /** Places models and starts loads until the calling coroutine is cancelled. */
    suspend fun run(): Nothing = coroutineScope {
        loading.clear() // left by a run that failed
        while (true) {
            duty.awaitLease()
            if (duty.mayAct(MAX_ORDER_TIME)) runOnce(this)
            delay(RUN_INTERVAL)
        }
        @Suppress("UNREACHABLE_CODE")
        error("ends by cancellation only")
    }

    private suspend fun runOnce(scope: CoroutineScope) {
        val catalog = inputs.catalog.catalog.value ?: return
        catalog.services.values.filter { it.models.isNotEmpty() }.forEach { service ->
            val engines = inputs.replicas.of(service.name).filter(::isAvailable)
            if (engines.isEmpty()) return@forEach
            val before = inputs.placement.placement.value
            val placement = placeModels(service.models, engines, before)
            if (placement != before) placements.append(PlacementBoard.record(placement))
            service.models.sortedByDescending { versionsBehind(it, engines, placement) }
                .forEach { model -> startDueLoads(scope, model, engines, placement) }
        }
    }

    private fun isAvailable(engine: Replica): Boolean =
        !inputs.departures.isDeparting(engine) && !inputs.catalog.evacuations.value.isEvacuated(engine.dataCentre)

    /** Versions by which the most outdated engine of [model] lags; jobs wait for an engine that lags far. */
    private fun versionsBehind(model: String, engines: List<Replica>, placement: ModelPlacement): Long {
        val newest = inputs.catalog.newestWeights.value[model]?.number ?: return 0
        val placed = placement.enginesOf(model)
        return engines.filter { it.id in placed }.maxOfOrNull { newest - inputs.tracker.weights(it, model) } ?: 0
    }

    private fun startDueLoads(scope: CoroutineScope, model: String, engines: List<Replica>, placement: ModelPlacement) {
        val version = inputs.catalog.newestWeights.value[model] ?: return
        val placed = placement.enginesOf(model)
        val now = clock.now()
        val steps = inputs.jobs.table.value.jobs.values.mapNotNull { it.step(model) }
        val placedEngines = engines.filter { it.id in placed }
        val versions = placedEngines.associate { it.id to inputs.tracker.weights(it, model) }
        val due = LoadTiming(version.number, timeSincePublished(model, version), versions, steps).dueEngines()
        val replicas = placedEngines.filter { it.id in due || it.id in loading }.map { it.toWeightReplica(model) }
        val reading = loading.count { id -> loadStates[id]?.let { now - it.since < STORE_READ_TIME } ?: false }
        val limits = RolloutLimits(
            maxLoading = replicas.count { it.loadingSince != null } +
                maxOf(MAX_CONCURRENT_LOADS, engines.size / ENGINES_PER_LOAD) - reading,
            maxLoadingPart = if (steps.any { it.open }) MAX_LOADING_PART else 1.0,
            loadTimeout = LOAD_TIMEOUT,
            retryBackoff = RETRY_BACKOFF,
        )
        planWeightLoads(replicas, version, limits, now).forEach { id ->
            val engine = engines.first { it.id == id }
            if (loading.add(id)) {
                loadStates.compute(id) { _, before -> (before ?: LoadState(now)).copy(since = now) }
                scope.launch { loadAndRecord(engine, model, version) }
            }
        }
    }

    private fun JobView.step(model: String): ModelStep? =
        job?.takeIf { it.model == model }?.let { ModelStep(it.minVersion, open) }

    /** Time since this instance first saw [version] as the newest one of [model]. */
    private fun timeSincePublished(model: String, version: WeightVersion): Duration {
        val newest = newestVersions[model]?.takeIf { it.version == version } ?: NewestVersion(version, clock.now())
        newestVersions[model] = newest
        return clock.now() - newest.since
    }

    private fun Replica.toWeightReplica(model: String): WeightReplica {
        val state = loadStates[id]
        return WeightReplica(
            target = id,
            dataCentre = dataCentre,
            routes = setOf(RouteName(model)),
            version = WeightVersion(inputs.tracker.weights(this, model)),
            loadingSince = state?.since.takeIf { id in loading },
            failures = state?.failures ?: 0,
            failedAt = state?.failedAt,
        )
    }

    private suspend fun loadAndRecord(engine: Replica, model: String, version: WeightVersion) {
        val since = clock.now()
        try {
            val loaded = orderAndAwait(engine, model, version)
            val failures = loadStates[engine.id]?.failures ?: 0
            loadStates[engine.id] = if (loaded) LoadState(since) else LoadState(since, failures + 1, clock.now())
            val elapsedMs = "${(clock.now() - since).inWholeMilliseconds}"
            emit(if (loaded) "weights.loaded" else "weights.failed", engine, model, version, "elapsed_ms" to elapsedMs)
            if (loaded) publish(engine, model)
        } finally {
            loading.remove(engine.id)
        }
    }

    private suspend fun publish(engine: Replica, model: String) {
        val version = WeightVersion(inputs.tracker.weights(engine, model))
        val loaded = LoadedWeights(engine.id, engine.startedAt, model, version)
        placements.offer(PlacementBoard.record(loaded), PUBLISH_TIMEOUT)
    }

    /** Orders [version] and waits until [engine] reports it; false on failure or after [LOAD_TIMEOUT]. */
    private suspend fun orderAndAwait(engine: Replica, model: String, version: WeightVersion): Boolean {
        val status = engineCalls.status(engine) ?: return false
        return when {
            servesVersion(status, engine, model, version) -> true
            !status.busy && !submit(engine, model, version, status) -> false
            else -> awaitLoad(engine, model, version, status)
        }
    }

    private suspend fun awaitLoad(
        engine: Replica,
        model: String,
        version: WeightVersion,
        before: EngineStatus,
    ): Boolean {
        val until = clock.now() + LOAD_TIMEOUT
        delay(MIN_LOAD_TIME)
        while (clock.now() < until) {
            delay(STATUS_INTERVAL)
            if (!isAvailable(engine)) return false
            val next = engineCalls.status(engine)
            if (next != null && servesVersion(next, engine, model, version)) return true
            if (next != null && !next.busy && next.acceptedOrders == before.acceptedOrders) return false
        }
        return false
    }

    private fun servesVersion(status: EngineStatus, engine: Replica, model: String, version: WeightVersion): Boolean {
        val served = status.weights[model] ?: return false
        inputs.tracker.versionObserved(engine, model, served)
        return served >= version
    }

    private suspend fun submit(engine: Replica, model: String, version: WeightVersion, status: EngineStatus): Boolean {
        val singleVersion = inputs.catalog.catalog.value?.routes.orEmpty().any { route ->
            route.singleVersion && route.services.any { it.service == engine.service }
        }
        val inFlight = if (singleVersion) InFlightPolicy.FINISH else InFlightPolicy.CONTINUE
        val order = LoadOrder(model, version, inFlight, status.acceptedOrders)
        engineCalls.awaitPermission(engine, ExchangeKind.ORDER)
        val answer = duty.perform(MAX_ORDER_TIME) { engineCalls.order(engine, order, FencingToken(self, it)) }
        emit("weights.ordered", engine, model, version, "based_on" to "${order.basedOn}", "answer" to "$answer")
        return when (answer) {
            is PlatformResult.Answered -> answer.value == OrderAnswer.ACCEPTED || answer.value == OrderAnswer.HOLDS
            is PlatformResult.InDoubt -> true
            is PlatformResult.Refused, PlatformResult.Withheld, null -> false
        }
    }

    private fun emit(
        name: String,
        engine: Replica,
        model: String,
        version: WeightVersion,
        vararg more: Pair<String, String>,
    ) {
        val attributes = mapOf("target" to engine.id.value, "model" to model, "version" to "${version.number}") + more
        events.record(name, EventLinks(duty = duty.name), attributes)
    }

    private companion object {
        val RUN_INTERVAL = 100.milliseconds

        /** Maximum duration of an order call; it has to end before the lease expires. */
        val MAX_ORDER_TIME = 600.milliseconds

        /** Concurrent loads that do not slow each other down, as the operators state for current fleets. */
        const val MAX_CONCURRENT_LOADS = 2

        /** Fraction of a model's engines that may load at a time while a step is served. */
        const val MAX_LOADING_PART = 0.5

        /** On larger fleets, one in this number of engines may load at a time. */
        const val ENGINES_PER_LOAD = 4
        val LOAD_TIMEOUT = 5.seconds
        val RETRY_BACKOFF = 300.milliseconds

        /** Time for which a load reads from the weight store; after that only the engine's own report is awaited. */
        val STORE_READ_TIME = 950.milliseconds

        /** Time before the first status read; a load takes about 0.9 s, so an earlier read would be wasted. */
        val MIN_LOAD_TIME = 750.milliseconds

        /** Interval between status reads of an engine that loads; each read has a cost. */
        val STATUS_INTERVAL = 200.milliseconds

        /** Time limit for publishing a load; the engine's own heartbeat announces it soon after. */
        val PUBLISH_TIMEOUT = 1.seconds
    }
}
