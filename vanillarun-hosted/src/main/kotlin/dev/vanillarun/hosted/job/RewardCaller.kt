package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.job.RewardCall
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.live.LiveForwarder
import dev.vanillarun.hosted.live.LiveOutcome
import dev.vanillarun.hosted.live.LiveRequest
import io.ktor.http.Headers
import kotlinx.coroutines.delay
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** How a reward call ended. */
internal sealed interface RewardResult {
    /** The service scored the sample. */
    data class Scored(val signature: String) : RewardResult

    /** As many targets as the route allows have failed. */
    data object AttemptsExhausted : RewardResult
}

/** Has samples scored by plain services. */
internal class RewardCaller(
    private val catalog: CatalogSource,
    private val live: LiveForwarder,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    /** Makes [call] until it succeeds or its route allows no further failure. */
    suspend fun score(call: RewardCall): RewardResult {
        var errors = 0
        while (true) {
            val route = catalog.catalog.value?.route(call.host, call.path.substringBefore('?'))
            val outcome = route?.let { live.serve(request(call, it)) }
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
     * Nobody waits for one reward, so a second target is asked only once the whole objective has passed: each that is
     * asked in vain takes a place at a service that live callers share, and ends with a connection that is given up.
     */
    private fun request(call: RewardCall, route: CatalogRoute): LiveRequest {
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
        )
    }

    private companion object {
        const val FIRST_ERROR = 300

        /** Pause before a call is made again; a fraction of a typical service time. */
        val RETRY_INTERVAL = 40.milliseconds
    }
}
