package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.limit.RateDecision
import dev.vanillarun.core.limit.TokenBucket
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.order.RolloutLimits
import dev.vanillarun.core.order.WeightOrder
import dev.vanillarun.core.order.WeightProgress
import dev.vanillarun.core.order.planWeightLoads
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.platform.valueOrNull
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Weight roll-out during one term of the lease.
 *
 * Loads started by the previous holder are unknown, because engines do not report that they are loading. The first
 * order therefore waits until every such load has ended or counts as failed, unless all engines are already observed
 * to serve the newest version.
 */
internal class WeightTerm(
    private val term: Offset,
    private val runner: DutyRunner,
    private val ports: WeightPorts,
    private val issuer: InstanceId,
    private val timeout: Duration,
    private val clock: MonotonicClock,
    private val status: MutableStateFlow<WeightStatus>,
) {
    private val policy = ports.policy
    private val limits = RolloutLimits(
        maxLoading = Int.MAX_VALUE,
        maxLoadingPart = policy.maxLoadingPart,
        loadTimeout = policy.loadTimeout,
    )
    private val startedAt = clock.now()
    private val progress = MutableStateFlow(WeightProgress())
    private val readAt = ConcurrentHashMap<TargetId, Instant>()
    private val inDoubt = ConcurrentHashMap<TargetId, WeightVersion>()
    private val newest = MutableStateFlow<WeightVersion?>(null)
    private val orderCount = AtomicLong()
    private var priorLoadsEnded = false
    private var bucket = TokenBucket(
        perSecond = policy.loadsPerSecond,
        burst = maxOf(1.0, policy.loadsPerSecond * policy.tick.toDouble(DurationUnit.SECONDS)),
        level = 1.0,
        at = startedAt,
    )

    /** Rolls out new versions until the calling coroutine is cancelled. */
    suspend fun run(): Nothing = coroutineScope {
        launch { followStore() }
        launch { followVersions() }
        rollOut()
    }

    private suspend fun followStore(): Nothing {
        while (true) {
            val read = ports.store.versions().valueOrNull()?.newest
            if (read != null) newest.update { maxOf(read, it ?: read) }
            delay(policy.storePollInterval)
        }
    }

    private suspend fun CoroutineScope.rollOut(): Nothing {
        while (true) {
            val engines = ports.engines()
            progress.update { it.withEngines(engines).expire(limits, clock.now()) }
            val unread = engines.filter { !readAt.containsKey(it.id) }
            if (unread.isNotEmpty()) readVersions(unread)
            val version = newest.value
            if (version != null) loadNext(version, engines.associateBy { it.id })
            val interval = if (status.value.behind > 0) policy.tick else policy.versionReadInterval
            withTimeoutOrNull(interval) { newest.first { it != version } }
        }
    }

    private fun CoroutineScope.loadNext(version: WeightVersion, engines: Map<TargetId, Target>) {
        val current = progress.value
        val behind = current.behind(version).size
        status.value = WeightStatus(version, behind)
        priorLoadsEnded = priorLoadsEnded || behind == 0 || clock.now() - startedAt >= limits.loadTimeout
        if (behind == 0 || !priorLoadsEnded) return
        for (target in planWeightLoads(current.replicas.values.toList(), version, limits, clock.now())) {
            val engine = engines[target] ?: continue
            val granted = bucket.take(1, clock.now()) as? RateDecision.Granted ?: return
            bucket = granted.next
            progress.update { it.loadStarted(target, clock.now()) }
            launch { load(engine, version) }
        }
    }

    private suspend fun load(engine: Target, version: WeightVersion) {
        val order = WeightOrder("$issuer-$term-${orderCount.getAndIncrement()}", version, term, issuer)
        val result = runner.performConcurrently(timeout) { held, guard ->
            if (held == term) send(engine, order, guard) else PlatformResult.Withheld
        }
        when (result) {
            is PlatformResult.Answered -> recordLoadEnd(engine.id, version, loadCompleted = true)
            is PlatformResult.Refused -> recordLoadEnd(engine.id, version, loadCompleted = false)
            is PlatformResult.Withheld, null -> progress.update { it.orderWithheld(engine.id) }
            is PlatformResult.InDoubt -> Unit
        }
    }

    /** Sends [order]; after [PlatformResult.InDoubt] the load counts as in progress and the version is read back. */
    private suspend fun send(engine: Target, order: WeightOrder, guard: SendGuard): PlatformResult<Unit> {
        val result = ports.ordering.loadWeights(engine, order, guard, timeout)
        if (result is PlatformResult.InDoubt) inDoubt[engine.id] = order.version
        return result
    }

    private fun recordLoadEnd(target: TargetId, version: WeightVersion, loadCompleted: Boolean) {
        progress.update { if (loadCompleted) it.loadCompleted(target, version) else it.loadFailed(target, clock.now()) }
        ports.observer.loadEnded(target, version, loadCompleted)
    }

    /** Reads the versions of engines with an order in doubt and, less often, of all other engines. */
    private suspend fun followVersions(): Nothing {
        while (true) {
            delay(policy.versionReadInterval)
            val now = clock.now()
            val (uncertain, others) = ports.engines().partition { inDoubt.containsKey(it.id) }
            val due = others.filter { engine ->
                readAt[engine.id]?.let { now - it >= policy.recheckInterval } == true
            }
            readVersions(uncertain + due.sortedBy { readAt[it.id] }.take(MAX_RECHECKS))
        }
    }

    private suspend fun readVersions(engines: List<Target>) = coroutineScope {
        engines.map { launch { readVersion(it) } }.joinAll()
    }

    private suspend fun readVersion(engine: Target) {
        val before = progress.value.replicas[engine.id] ?: return
        val version = ports.ordering.version(engine)
        readAt[engine.id] = clock.now()
        val expected = inDoubt[engine.id] ?: newest.value
        if (version != null) progress.update { it.versionObserved(before, version, expected) }
        resolveInDoubt(engine.id, version)
    }

    /** Resolves an order in doubt once the engine serves the ordered version or the load counts as failed. */
    private fun resolveInDoubt(target: TargetId, version: WeightVersion?) {
        val ordered = inDoubt[target] ?: return
        val loaded = version != null && version >= ordered
        if (!loaded && progress.value.replicas[target]?.loadingSince != null) return
        if (inDoubt.remove(target, ordered)) ports.observer.loadEnded(target, ordered, loaded)
    }

    private companion object {
        /** Maximum number of engines per round whose version is read again without an order in doubt. */
        const val MAX_RECHECKS = 64
    }
}
