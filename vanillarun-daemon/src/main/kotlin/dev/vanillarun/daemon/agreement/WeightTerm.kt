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
 * The roll-out of weights during one term of the lease.
 *
 * What a predecessor began is not known: an engine does not tell that it is loading. So the first order waits until
 * every load of a predecessor has ended or counts as failed, unless all engines are seen to serve the newest version.
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
    private val began = clock.now()
    private val progress = MutableStateFlow(WeightProgress())
    private val askedAt = ConcurrentHashMap<TargetId, Instant>()
    private val inDoubt = ConcurrentHashMap<TargetId, WeightVersion>()
    private val newest = MutableStateFlow<WeightVersion?>(null)
    private val orders = AtomicLong()
    private var settled = false
    private var bucket = TokenBucket(
        perSecond = policy.loadsPerSecond,
        burst = maxOf(1.0, policy.loadsPerSecond * policy.tick.toDouble(DurationUnit.SECONDS)),
        level = 1.0,
        at = began,
    )

    /** Rolls out until cancelled. */
    suspend fun run(): Nothing = coroutineScope {
        launch { followStore() }
        launch { followVersions() }
        rollOut()
    }

    private suspend fun followStore(): Nothing {
        while (true) {
            val read = ports.store.versions().valueOrNull()?.newest
            if (read != null) newest.update { maxOf(read, it ?: read) }
            delay(policy.storeEvery)
        }
    }

    private suspend fun CoroutineScope.rollOut(): Nothing {
        while (true) {
            val engines = ports.engines()
            progress.update { it.withEngines(engines).expire(limits, clock.now()) }
            val unknown = engines.filter { !askedAt.containsKey(it.id) }
            if (unknown.isNotEmpty()) ask(unknown)
            val version = newest.value
            if (version != null) loadNext(version, engines.associateBy { it.id })
            val pause = if (status.value.behind > 0) policy.tick else policy.readEvery
            withTimeoutOrNull(pause) { newest.first { it != version } }
        }
    }

    private fun CoroutineScope.loadNext(version: WeightVersion, engines: Map<TargetId, Target>) {
        val known = progress.value
        val behind = known.behind(version).size
        status.value = WeightStatus(version, behind)
        settled = settled || behind == 0 || clock.now() - began >= limits.loadTimeout
        if (behind == 0 || !settled) return
        for (target in planWeightLoads(known.replicas.values.toList(), version, limits, clock.now())) {
            val engine = engines[target] ?: continue
            val taken = bucket.take(1, clock.now()) as? RateDecision.Granted ?: return
            bucket = taken.next
            progress.update { it.loadStarted(target, clock.now()) }
            launch { load(engine, version) }
        }
    }

    private suspend fun load(engine: Target, version: WeightVersion) {
        val order = WeightOrder("$issuer-$term-${orders.getAndIncrement()}", version, term, issuer)
        val result = runner.performConcurrently(timeout) { held, guard ->
            if (held == term) send(engine, order, guard) else PlatformResult.Withheld
        }
        when (result) {
            is PlatformResult.Answered -> ended(engine.id, version, loadCompleted = true)
            is PlatformResult.Refused -> ended(engine.id, version, loadCompleted = false)
            is PlatformResult.Withheld, null -> progress.update { it.orderWithheld(engine.id) }
            is PlatformResult.InDoubt -> Unit
        }
    }

    /** An order in doubt is read back from here on, and counts as a load under way meanwhile. */
    private suspend fun send(engine: Target, order: WeightOrder, guard: SendGuard): PlatformResult<Unit> {
        val result = ports.ordering.loadWeights(engine, order, guard, timeout)
        if (result is PlatformResult.InDoubt) inDoubt[engine.id] = order.version
        return result
    }

    private fun ended(target: TargetId, version: WeightVersion, loadCompleted: Boolean) {
        progress.update { if (loadCompleted) it.loadCompleted(target, version) else it.loadFailed(target, clock.now()) }
        ports.observer.ended(target, version, loadCompleted)
    }

    /** Reads back orders in doubt, and now and then the version of every engine. */
    private suspend fun followVersions(): Nothing {
        while (true) {
            delay(policy.readEvery)
            val now = clock.now()
            val (doubtful, others) = ports.engines().partition { inDoubt.containsKey(it.id) }
            val old = others.filter { engine -> askedAt[engine.id]?.let { now - it >= policy.recheckAfter } == true }
            ask(doubtful + old.sortedBy { askedAt[it.id] }.take(MAX_RECHECKS))
        }
    }

    private suspend fun ask(engines: List<Target>) = coroutineScope {
        engines.map { launch { ask(it) } }.joinAll()
    }

    private suspend fun ask(engine: Target) {
        val before = progress.value.replicas[engine.id] ?: return
        val version = ports.ordering.version(engine)
        askedAt[engine.id] = clock.now()
        val wanted = inDoubt[engine.id] ?: newest.value
        if (version != null) progress.update { it.versionObserved(before, version, wanted) }
        settle(engine.id, version)
    }

    /** Ends the doubt about an order once the engine serves what was wanted or the load counts as failed. */
    private fun settle(target: TargetId, version: WeightVersion?) {
        val ordered = inDoubt[target] ?: return
        val arrived = version != null && version >= ordered
        if (!arrived && progress.value.replicas[target]?.loadingSince != null) return
        if (inDoubt.remove(target, ordered)) ports.observer.ended(target, ordered, arrived)
    }

    private companion object {
        /** Engines that are asked again at a time. */
        const val MAX_RECHECKS = 64
    }
}
