package dev.vanillarun.adapters.platform

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.order.EngineOrdering
import dev.vanillarun.core.order.WeightOrder
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import io.ktor.client.HttpClient
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.bearerAuth
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sends weight orders to model engines over HTTP and reads the weight version that they serve.
 *
 * @param readTimeout limit for reading the version of an engine
 */
public class HttpEngineOrdering(private val client: HttpClient, private val readTimeout: Duration = 1.seconds) :
    EngineOrdering {
    override suspend fun loadWeights(
        engine: Target,
        order: WeightOrder,
        guard: SendGuard,
        timeout: Duration,
    ): PlatformResult<Unit> {
        val body = platformJson.encodeToString(WeightOrderJson.serializer(), order.toJson())
        val url = engine.url("/engine/orders")
        val result = client.exchange(HttpMethod.Post, url, timeout, body, guard) { authorize(engine) }
        return when (result) {
            is ExchangeResult.NotSent -> PlatformResult.Refused(result.reason, DEFAULT_RETRY_AFTER)
            is ExchangeResult.Withheld -> PlatformResult.Withheld
            is ExchangeResult.Incomplete -> PlatformResult.InDoubt(result.reason)
            is ExchangeResult.Response -> result.toResult()
        }
    }

    override suspend fun version(engine: Target): WeightVersion? {
        val response = client.exchange(HttpMethod.Get, engine.url("/engine/load"), readTimeout) { authorize(engine) }
        if (response !is ExchangeResult.Response || response.status != HttpStatusCode.OK.value) return null
        return decodeOrNull {
            platformJson.decodeFromString<EngineLoadJson>(response.body)
        }?.version?.let(::WeightVersion)
    }

    private fun ExchangeResult.Response.toResult(): PlatformResult<Unit> = when (status) {
        HttpStatusCode.OK.value -> PlatformResult.Answered(Unit)
        in engineRefusalStatuses -> PlatformResult.Refused("status $status", retryAfter)
        else -> PlatformResult.InDoubt("status $status")
    }

    private fun Target.url(path: String): String = address.trimEnd('/') + path

    private fun HttpRequestBuilder.authorize(engine: Target) {
        if (engine.credential.isNotEmpty()) bearerAuth(engine.credential)
    }

    private companion object {
        /** Statuses after which the old version is still served: the order was rejected, or the weight load failed. */
        val engineRefusalStatuses: Set<Int> = refusalStatuses + setOf(
            HttpStatusCode.BadRequest.value,
            HttpStatusCode.Unauthorized.value,
            HttpStatusCode.NotFound.value,
            HttpStatusCode.Conflict.value,
            HttpStatusCode.BadGateway.value,
        )
    }
}

@Serializable
private data class WeightOrderJson(
    val id: String,
    val kind: String,
    val version: Long,
    val term: Long,
    val issuer: String,
)

@Serializable
private data class EngineLoadJson(val version: Long? = null)

private fun WeightOrder.toJson() = WeightOrderJson(id, "load_weights", version.number, term.value, issuer.value)
