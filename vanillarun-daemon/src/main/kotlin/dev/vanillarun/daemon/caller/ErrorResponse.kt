package dev.vanillarun.daemon.caller

import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.outcome.Execution
import io.ktor.http.HttpStatusCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/** Types of errors that callers receive. */
public enum class ErrorType(
    /** Value of the `type` field in the body. */
    public val wire: String,
    /** HTTP status of the response. */
    public val status: HttpStatusCode,
) {
    /** No key, or one that is unknown or withdrawn. */
    UNAUTHENTICATED("unauthenticated", HttpStatusCode.Unauthorized),

    /** The customer may not use the route. */
    FORBIDDEN("forbidden", HttpStatusCode.Forbidden),

    /** No route matches the path or the model. */
    NO_ROUTE("no_route", HttpStatusCode.NotFound),

    /** The request is malformed. */
    INVALID_REQUEST("invalid_request", HttpStatusCode.BadRequest),

    /** The request contains the caller's key outside of the `Authorization` header. */
    KEY_IN_REQUEST("key_in_request", HttpStatusCode.BadRequest),

    /** The body exceeds the size limit. */
    BODY_TOO_LARGE("body_too_large", HttpStatusCode.PayloadTooLarge),

    /** The headers exceed the limit on their number or total size. */
    HEADERS_TOO_LARGE("headers_too_large", HttpStatusCode.RequestHeaderFieldTooLarge),

    /** The caller took too long to send its request. */
    REQUEST_TIMEOUT("request_timeout", HttpStatusCode.RequestTimeout),

    /** The queue or the buffer of the instance is full, or the customer is at its concurrency limit. */
    QUEUE_FULL("queue_full", HttpStatusCode.TooManyRequests),

    /** The customer exceeded its token rate. */
    RATE_LIMITED("rate_limited", HttpStatusCode.TooManyRequests),

    /** The idempotency key was used for another request, or the first request with it is still in progress. */
    CONFLICT("conflict", HttpStatusCode.Conflict),

    /** The request crashed several targets and is rejected until its quarantine ends. */
    QUARANTINED("quarantined", HttpStatusCode.UnprocessableEntity),

    /** No target could be reached. */
    TARGET_UNAVAILABLE("target_unavailable", HttpStatusCode.ServiceUnavailable),

    /** The request needs the platform's log, which is unavailable. */
    LOG_UNAVAILABLE("log_unavailable", HttpStatusCode.ServiceUnavailable),

    /** The instance has no configuration yet. */
    NOT_READY("not_ready", HttpStatusCode.ServiceUnavailable),

    /** The instance is draining and accepts no new requests. */
    DRAINING("draining", HttpStatusCode.ServiceUnavailable),

    /** The response of a target was aborted, incomplete, or belonged to another request. */
    BROKEN_ANSWER("broken_answer", HttpStatusCode.BadGateway),

    /** The response is larger than this instance relays. */
    ANSWER_TOO_LARGE("answer_too_large", HttpStatusCode.BadGateway),

    /** The deadline passed before the response was complete. */
    DEADLINE_EXCEEDED("deadline_exceeded", HttpStatusCode.GatewayTimeout),
}

/** An error response that this instance generates itself. */
public data class ErrorResponse(
    /** Determines the status and the `type` field. */
    public val type: ErrorType,
    /** Human-readable text; never contains secrets. */
    public val message: String,
    /** Whether the request ran at a target. */
    public val execution: Execution = Execution.NOT_RUN,
    /** Delay after which a retry can succeed; null if none is known. */
    public val retryAfter: Duration? = null,
) {
    /** JSON body of this response to [request]. */
    public fun body(request: RequestId): String = json.encodeToString(
        ErrorBody.serializer(),
        ErrorBody(ErrorDetail(type.wire, message, execution, retryAfter?.inWholeMilliseconds, request.value)),
    )

    private companion object {
        val json = Json { explicitNulls = false }
    }
}

/** JSON body of an error response. */
@Serializable
internal data class ErrorBody(val error: ErrorDetail)

/** Content of the `error` field of [ErrorBody]. */
@Serializable
internal data class ErrorDetail(
    val type: String,
    val message: String,
    val execution: Execution,
    @SerialName("retry_after_ms") val retryAfterMs: Long?,
    @SerialName("request_id") val requestId: String,
)
