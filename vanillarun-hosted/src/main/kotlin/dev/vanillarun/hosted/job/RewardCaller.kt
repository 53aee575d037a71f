package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.job.RewardCall
import dev.vanillarun.core.reward.RewardCallEnd
import dev.vanillarun.core.reward.RewardGroup
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.Region
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.live.LiveOutcome
import dev.vanillarun.hosted.live.LiveRequest
import dev.vanillarun.hosted.target.ExchangeKind
import io.ktor.http.Headers
import kotlinx.coroutines.delay
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of a reward call. */
internal sealed interface RewardResult {
    /** The service scored the sample; [signature] is the signature of its response. */
    data class Scored(val signature: String) : RewardResult

    /** The maximum number of failed attempts of the route is reached. */
    data object AttemptsExhausted : RewardResult
}

/** Calls plain services to score samples, in the order and at the rate that the service has room for. */
internal class RewardCaller(
    private val catalog: CatalogSource,
    private val live: LiveForwarder,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    private val lanes = ConcurrentHashMap<String, RewardLane>()

    /** Calls that wait for the window, by route. */
    val waiting: Map<String, Double> get() = lanes.mapValues { it.value.waiting.toDouble() }

    /** Maximum number of calls in flight, by route. */
    val windows: Map<String, Double> get() = lanes.mapValues { it.value.window.toDouble() }

    /** Repeats that the budget of repeats did not cover, by route. */
    val repeatsWithheld: Map<String, Long> get() = lanes.mapValues { it.value.repeatsWithheld }

    /**
     * Retries [call] for an item of [group] until it succeeds, or targets have run and failed it (status 500) as often
     * as its route allows attempts. It goes to targets in [customerRegions] only, unless these are empty.
     */
    suspend fun score(
        call: RewardCall,
        group: RewardGroup = RewardGroup(),
        customerRegions: Set<Region> = emptySet(),
    ): RewardResult {
        var failedRuns = 0
        var failures = 0
        while (true) {
            val route = catalog.catalog.value?.route(call.host, call.path.substringBefore('?'))
            val lane = route?.let { lanes.computeIfAbsent(it.name) { name -> RewardLane(name, clock, events) } }
            if (failures == 0) lane?.firstAttempt()
            val outcome = if (lane == null) null else attempt(call, route, group, lane, customerRegions)
            if (outcome is LiveOutcome.Complete) {
                val signature = outcome.signature
                if (outcome.status < FIRST_ERROR && signature != null) return RewardResult.Scored(signature)
                failedRuns += outcome.failedRuns
                if (failedRuns >= route?.maxAttempts ?: 1) return exhausted(call, outcome.status, failedRuns)
            }
            failures++
            val pause = lane?.repeatDelay(failures, outcome?.let(::endOf) ?: RewardCallEnd.OTHER) ?: NO_ROUTE_DELAY
            val attributes = mapOf(
                "errors" to "$failedRuns",
                "outcome" to (outcome?.describe() ?: "no route"),
                "route" to route?.name.orEmpty(),
                "pause_ms" to "${pause.inWholeMilliseconds}",
            )
            events.record("reward.retried", EventLinks(request = call.id), attributes)
            delay(pause)
        }
    }

    private fun exhausted(call: RewardCall, status: Int, failedRuns: Int): RewardResult {
        val attributes = mapOf("status" to "$status", "errors" to "$failedRuns")
        events.record("reward.exhausted", EventLinks(request = call.id), attributes)
        return RewardResult.AttemptsExhausted
    }

    private fun LiveOutcome.describe(): String = when (this) {
        is LiveOutcome.Complete -> "answered $status"
        is LiveOutcome.NotRun -> "not run: $reason"
        is LiveOutcome.Streamed -> "streamed"
        is LiveOutcome.Unknown -> "unknown: $reason"
    }

    private suspend fun attempt(
        call: RewardCall,
        route: CatalogRoute,
        group: RewardGroup,
        lane: RewardLane,
        customerRegions: Set<Region>,
    ) = lane.inTurn(group, ::endOf) { live.serve(request(call, route, group, customerRegions)) }

    private fun endOf(outcome: LiveOutcome): RewardCallEnd = when (outcome) {
        is LiveOutcome.Complete -> RewardCallEnd.ANSWERED
        is LiveOutcome.NotRun -> if (outcome.refused) RewardCallEnd.REFUSED else RewardCallEnd.WITHHELD
        is LiveOutcome.Streamed, is LiveOutcome.Unknown -> RewardCallEnd.OTHER
    }

    /**
     * No caller waits for a single reward, so the hedge is sent only after the full objective: a useless hedge occupies
     * a slot of a service that live callers share, and cancelling it costs a connection.
     */
    private fun request(
        call: RewardCall,
        route: CatalogRoute,
        group: RewardGroup,
        customerRegions: Set<Region>,
    ): LiveRequest {
        val now = clock.now()
        return LiveRequest(
            id = call.id,
            method = "POST",
            uri = call.path,
            host = call.host,
            headers = Headers.Empty,
            body = Base64.getDecoder().decode(call.body),
            route = route,
            customer = null,
            received = now,
            deadline = now + route.timeout,
            hedgeDelay = route.objective,
            mayBeQuarantined = false,
            kind = ExchangeKind.REWARD,
            yieldsPriority = !isNearDue(group, route),
            customerRegions = customerRegions,
        )
    }

    /** True if the group of a reward needs it as urgently as a live caller needs an answer. */
    private fun isNearDue(group: RewardGroup, route: CatalogRoute): Boolean {
        val left = group.dueAt?.let { it - clock.now() } ?: return false
        return left in Duration.ZERO..route.timeout
    }

    private companion object {
        const val FIRST_ERROR = 300

        /** Delay before the route of a call is looked up again. */
        val NO_ROUTE_DELAY = 500.milliseconds
    }
}
