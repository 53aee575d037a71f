package dev.vanillarun.daemon.caller

import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.routing.RequestProfile
import dev.vanillarun.core.time.Instant
import dev.vanillarun.daemon.config.KeyOwner
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.Parameters
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.longOrNull

/** A caller's request that passed authentication, routing and validation. */
public class CallerRequest(
    /** Identity that the response carries in [REQUEST_ID_HEADER]. */
    public val id: RequestId,
    /** HTTP method as sent, such as `POST`. */
    public val method: String,
    /** Path of the URL, without the query. */
    public val path: String,
    /** Decoded query parameters. */
    public val query: Parameters,
    /** Headers as sent, including `Authorization`. */
    public val headers: Headers,
    /** The complete body; empty if none was sent. */
    public val body: ByteArray,
    /** The parsed body of an inference call; null for a call of a service route. */
    public val json: JsonObject?,
    /** Route that the model or the path selected. */
    public val route: Route,
    /** Key and customer; null on an open route without a key. */
    public val owner: KeyOwner?,
    /** The secret that the caller sent; null without a key. */
    public val secret: Secret?,
    /** When the response must be complete. */
    public val deadline: Instant,
    /** Media type of the body; null if the caller sent none. */
    public val contentType: ContentType? = null,
) {
    /** Maximum number of tokens to generate; [Long.MAX_VALUE] if the caller set no limit. */
    public val maxTokens: Long get() = number("max_tokens") ?: number("max_completion_tokens") ?: Long.MAX_VALUE

    /** Estimated work of the request, in tokens, for queueing and target selection. */
    public val work: RequestProfile get() = RequestProfile(
        promptTokens = if (json == null) 0 else body.size / BYTES_PER_TOKEN,
        outputTokens = if (json == null) 1 else maxTokens.coerceAtMost(MAX_EXPECTED_OUTPUT_TOKENS),
        avoidReclaimable = !repeatable,
    )

    /** The caller's `Idempotency-Key`; null if none was sent. */
    public val idempotencyKey: String? get() = headers["Idempotency-Key"]

    /** True if the request may run more than once. A call with an idempotency key may not. */
    public val repeatable: Boolean get() =
        idempotencyKey == null && (route.kind == RouteKind.MODEL || method in route.idempotentMethods)

    private fun number(field: String): Long? = (json?.get(field) as? JsonPrimitive)?.longOrNull

    private companion object {
        const val BYTES_PER_TOKEN = 4L

        /** Upper bound of the expected output, which also applies to requests without `max_tokens`. */
        const val MAX_EXPECTED_OUTPUT_TOKENS = 4_096L
    }
}
