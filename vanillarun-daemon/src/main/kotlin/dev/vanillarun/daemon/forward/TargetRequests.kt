package dev.vanillarun.daemon.forward

import dev.vanillarun.core.config.Target
import dev.vanillarun.core.id.RequestId
import dev.vanillarun.daemon.caller.CallerRequest
import dev.vanillarun.daemon.target.TargetRequest
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpHeaders
import io.ktor.http.formUrlEncode
import kotlinx.serialization.json.JsonObject

/** Builds the HTTP requests to targets. */
internal object TargetRequests {
    /** Builds the request for one attempt; [exchange] is its `X-Request-Id`, [priority] the rank of its class. */
    fun build(
        request: CallerRequest,
        target: Target,
        exchange: RequestId,
        progress: CallProgress,
        priority: Int,
    ): TargetRequest {
        val headers = HeadersBuilder()
        headers.appendAll(HeaderRules.towardsTarget(request.headers, request.secret))
        headers.remove(HttpHeaders.ContentType)
        if (target.credential.isNotEmpty()) headers["Authorization"] = "Bearer ${target.credential}"
        headers["X-Request-Id"] = exchange.value
        if (request.json != null) headers["X-Priority"] = priority.toString()
        return TargetRequest(
            method = request.method,
            url = target.address.trimEnd('/') + request.path + query(request),
            headers = headers.build(),
            contentType = request.contentType,
            body = body(request, progress),
            freshConnection = !request.repeatable,
            id = exchange.value,
        )
    }

    private fun body(request: CallerRequest, progress: CallProgress): ByteArray {
        val json = request.json
        if (json == null || progress.relayed.events == 0) return request.body
        val resumed = JsonObject(json + ("resume" to progress.relayed.resumePoint()))
        return resumed.toString().encodeToByteArray()
    }

    private fun query(request: CallerRequest): String {
        val allowed = HeaderRules.towardsTarget(request.query, request.secret)
        return if (allowed.isEmpty()) "" else "?" + allowed.formUrlEncode()
    }
}
