package dev.vanillarun.daemon.caller

import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.outcome.Execution
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/** Kinds of errors that callers see. */
public enum class ErrorType(
    /** The `type` field of the body. */
    public val wire: String,
    /** HTTP status. */
    public val status: HttpStatusCode,
) {
    /** No key, or one that is unknown or withdrawn. */
    UNAUTHENTICATED("unauthenticated", HttpStatusCode.Unauthorized),

    /** The customer may not use the route. */
    FORBIDDEN("forbidden", HttpStatusCode.Forbidden),

    /** No route for the path or model. */
    NO_ROUTE("no_route", HttpStatusCode.NotFound),

    /** The request is malformed. */
    INVALID_REQUEST("invalid_request", HttpStatusCode.BadRequest),

    /** The request holds the caller's key outside of the `Authorization` header. */
    KEY_IN_REQUEST("key_in_request", HttpStatusCode.BadRequest),

    /** The body is over its bound. */
    BODY_TOO_LARGE("body_too_large", HttpStatusCode.PayloadTooLarge),

    /** The headers are over their bound. */
    HEADERS_TOO_LARGE("headers_too_large", HttpStatusCode.RequestHeaderFieldTooLarge),

    /** The caller took too long to send its request. */
    REQUEST_TIMEOUT("request_timeout", HttpStatusCode.RequestTimeout),

    /** The queue is full or the customer is at its limit. */
    QUEUE_FULL("queue_full", HttpStatusCode.TooManyRequests),

    /** The customer is over its rate. */
    RATE_LIMITED("rate_limited", HttpStatusCode.TooManyRequests),

    /** The idempotency key was used for another request, or the first one still runs. */
    CONFLICT("conflict", HttpStatusCode.Conflict),

    /** The request crashed several targets and is refused for a while. */
    QUARANTINED("quarantined", HttpStatusCode.UnprocessableEntity),

    /** No target could be reached. */
    TARGET_UNAVAILABLE("target_unavailable", HttpStatusCode.ServiceUnavailable),

    /** The platform's log is away, which the request needs. */
    LOG_UNAVAILABLE("log_unavailable", HttpStatusCode.ServiceUnavailable),

    /** The instance has no configuration yet. */
    NOT_READY("not_ready", HttpStatusCode.ServiceUnavailable),

    /** The instance is leaving. */
    DRAINING("draining", HttpStatusCode.ServiceUnavailable),

    /** A target broke off, or its answer was not whole or not the one to this request. */
    BROKEN_ANSWER("broken_answer", HttpStatusCode.BadGateway),

    /** The answer is longer than this instance passes on. */
    ANSWER_TOO_LARGE("answer_too_large", HttpStatusCode.BadGateway),

    /** The deadline passed. */
    DEADLINE_EXCEEDED("deadline_exceeded", HttpStatusCode.GatewayTimeout),
}

/** An answer that is not a target's. */
public data class ErrorResponse(
    /** Kind. */
    public val type: ErrorType,
    /** Text for people; never holds secrets. */
    public val message: String,
    /** Whether the request ran. */
    public val execution: Execution = Execution.NOT_RUN,
    /** When coming back helps. */
    public val retryAfter: Duration? = null,
) {
    /** The JSON body of this answer to [request]. */
    public fun body(request: RequestId): String = json.encodeToString(
        ErrorBody.serializer(),
        ErrorBody(ErrorDetail(type.wire, message, execution, retryAfter?.inWholeMilliseconds, request.value)),
    )

    private companion object {
        val json = Json { explicitNulls = false }
    }
}

/** Wire form of an error. */
@Serializable
internal data class ErrorBody(val error: ErrorDetail)

/** Wire form of an error's detail. */
@Serializable
internal data class ErrorDetail(
    val type: String,
    val message: String,
    val execution: Execution,
    @SerialName("retry_after_ms") val retryAfterMs: Long?,
    @SerialName("request_id") val requestId: String,
)
