package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.job.RewardCall
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
import kotlin.time.Duration.Companion.milliseconds

/** Result of a reward call. */
internal sealed interface RewardResult {
    /** The service scored the sample; [signature] is the signature of its response. */
    data class Scored(val signature: String) : RewardResult

    /** The maximum number of failed attempts of the route is reached. */
    data object AttemptsExhausted : RewardResult
}

/** Calls plain services to score samples. */
internal class RewardCaller(
    private val catalog: CatalogSource,
    private val live: LiveForwarder,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    /**
     * Retries [call] until it succeeds or the maximum attempts of its route have failed. It goes to targets in
     * [customerRegions] only, unless these are empty.
     */
    suspend fun score(call: RewardCall, customerRegions: Set<Region> = emptySet()): RewardResult {
        var errors = 0
        while (true) {
            val route = catalog.catalog.value?.route(call.host, call.path.substringBefore('?'))
            val outcome = route?.let { live.serve(request(call, it, customerRegions)) }
            if (outcome is LiveOutcome.Complete) {
                val signature = outcome.signature
                if (outcome.status < FIRST_ERROR && signature != null) return RewardResult.Scored(signature)
                errors += outcome.serverErrors
                if (errors >= route.maxAttempts) return RewardResult.AttemptsExhausted
            }
            val attributes = mapOf("errors" to "$errors", "route" to route?.name.orEmpty())
            events.record("reward.retried", EventLinks(request = call.id), attributes)
            delay(RETRY_INTERVAL)
        }
    }

    /**
     * No caller waits for a single reward, so the hedge is sent only after the full objective: a useless hedge occupies
     * a slot of a service that live callers share, and cancelling it costs a connection.
     */
    private fun request(call: RewardCall, route: CatalogRoute, customerRegions: Set<Region>): LiveRequest {
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
            customerRegions = customerRegions,
        )
    }

    private companion object {
        const val FIRST_ERROR = 300

        /** Delay between calls; a fraction of a typical service time. */
        val RETRY_INTERVAL = 40.milliseconds
    }
}
