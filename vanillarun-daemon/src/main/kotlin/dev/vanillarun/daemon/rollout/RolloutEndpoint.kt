package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.sample.Delivery
import dev.vanillarun.core.sample.StepKey
import dev.vanillarun.core.sample.StepSpecCodec
import dev.vanillarun.daemon.caller.BodyReader
import dev.vanillarun.daemon.caller.EXECUTION_HEADER
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.ErrorType
import dev.vanillarun.daemon.caller.Identity
import dev.vanillarun.daemon.caller.ValidationResult
import dev.vanillarun.daemon.caller.identify
import dev.vanillarun.daemon.caller.respondError
import dev.vanillarun.daemon.config.ActiveConfig
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.Parameters
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** HTTP API for trainers under `/v1/rollouts`. */
public class RolloutEndpoint(private val service: RolloutService, private val bodies: BodyReader) {
    /** True if [path] belongs to this API. */
    public fun covers(path: String): Boolean = path == ROOT || path.startsWith("$ROOT/")

    /** Handles [call], whose request id is [id], under [config]. */
    public suspend fun handle(call: ApplicationCall, id: RequestId, config: ActiveConfig) {
        val identity = config.identify(call.request.headers[HttpHeaders.Authorization])
        if (identity !is Identity.Authenticated) {
            call.respondError(id, ErrorResponse(ErrorType.UNAUTHENTICATED, "send a valid key"))
            return
        }
        val owner = identity.owner.customer.id
        val parts = call.request.path().removePrefix(ROOT).split('/').filter(String::isNotEmpty)
        val method = call.request.httpMethod
        val step = parts.getOrNull(STEP_PART)?.toLongOrNull()
        when {
            method == HttpMethod.Post && parts.isEmpty() -> submit(call, id, identity)

            method == HttpMethod.Get && parts.size == SAMPLES_PARTS && step != null && parts[2] == "samples" ->
                pull(call, id, StepKey(owner, parts[0], step))

            method == HttpMethod.Delete && parts.size == STEP_PARTS && step != null ->
                end(call, id, StepKey(owner, parts[0], step))

            else -> call.respondError(id, ErrorResponse(ErrorType.NO_ROUTE, "no such endpoint under $ROOT"))
        }
    }

    private suspend fun submit(call: ApplicationCall, id: RequestId, identity: Identity.Authenticated) {
        val body = when (val read = bodies.read(call)) {
            is ValidationResult.Rejected -> return call.respondError(id, read.error)
            is ValidationResult.Accepted -> read.value
        }
        val spec = StepSpecCodec.decode(body.decodeToString())
        if (spec == null) {
            call.respondError(id, ErrorResponse(ErrorType.INVALID_REQUEST, "the body must be a step, see docs/API.md"))
            return
        }
        when (val result = service.submit(identity.owner.customer.id, spec)) {
            is SubmissionResult.Accepted -> call.respondJson(
                HttpStatusCode.Accepted,
                RolloutJson.accepted(spec, result),
            )

            is SubmissionResult.Invalid -> {
                val text = result.problems.joinToString("; ") { "${it.field} ${it.message}" }
                call.respondError(id, ErrorResponse(ErrorType.INVALID_REQUEST, text))
            }

            is SubmissionResult.NoRoute -> call.respondError(id, ErrorResponse(ErrorType.FORBIDDEN, result.reason))

            SubmissionResult.Conflict -> {
                val text = "step ${spec.step} of ${spec.trainer} was submitted with other content; use another number"
                call.respondError(id, ErrorResponse(ErrorType.CONFLICT, text))
            }
        }
    }

    private suspend fun pull(call: ApplicationCall, id: RequestId, key: StepKey) {
        val query = call.request.queryParameters
        val fault = query.validationError()
        if (fault != null) return call.respondError(id, ErrorResponse(ErrorType.INVALID_REQUEST, fault))
        val limit = query["limit"]?.toIntOrNull() ?: DEFAULT_LIMIT
        val wait = query["wait_ms"]?.toLongOrNull() ?: 0
        val cursor = query["cursor"].orEmpty()
        val pull = ForwardedPull(key, cursor, limit, wait.milliseconds, query["version"]?.toLongOrNull())
        when (val result = service.pull(pull)) {
            is PullResult.Delivered -> call.respondDelivery(result.delivery)
            is PullResult.Forwarded -> call.respondJson(HttpStatusCode.fromValue(result.status), result.body)
            else -> call.respondError(id, result.error())
        }
    }

    /** Describes the first invalid parameter of a pull; null if all are valid. */
    private fun Parameters.validationError(): String? = when {
        !isInRange("limit", 1L..MAX_LIMIT) -> "limit must be 1 to $MAX_LIMIT"
        !isInRange("wait_ms", 0L..MAX_WAIT_MS) -> "wait_ms must be 0 to $MAX_WAIT_MS"
        !isInRange("version", 0L..Long.MAX_VALUE) -> "version must be a number"
        else -> null
    }

    private fun Parameters.isInRange(name: String, range: LongRange): Boolean {
        val text = this[name] ?: return true
        val number = text.toLongOrNull() ?: return false
        return number in range
    }

    private suspend fun end(call: ApplicationCall, id: RequestId, key: StepKey) {
        val wasRunning = service.end(key)
        if (wasRunning) {
            call.respondJson(HttpStatusCode.OK, "{}")
        } else {
            call.respondError(id, ErrorResponse(ErrorType.NO_ROUTE, "the step does not run at this instance"))
        }
    }

    private suspend fun ApplicationCall.respondDelivery(delivery: Delivery) =
        respondJson(HttpStatusCode.OK, RolloutJson.delivery(delivery))

    private suspend fun ApplicationCall.respondJson(status: HttpStatusCode, body: String) {
        response.header(EXECUTION_HEADER, Execution.RAN.wire)
        respondText(body, ContentType.Application.Json, status)
    }

    private companion object {
        const val ROOT = "/v1/rollouts"
        const val STEP_PART = 1
        const val STEP_PARTS = 2
        const val SAMPLES_PARTS = 3
        const val DEFAULT_LIMIT = 64
        const val MAX_LIMIT = 4_096
        const val MAX_WAIT_MS = 30_000L
    }
}

/** Error response for a pull that returned no delivery; its message says what the trainer should do. */
internal fun PullResult.error(): ErrorResponse = when (this) {
    is PullResult.InvalidCursor -> ErrorResponse(ErrorType.INVALID_REQUEST, reason)

    is PullResult.Unavailable -> ErrorResponse(ErrorType.NOT_READY, reason, retryAfter = 1.seconds)

    PullResult.Unknown -> ErrorResponse(
        ErrorType.NO_ROUTE,
        "no such step is recorded: submit it again, then pull again",
    )

    is PullResult.Delivered, is PullResult.Forwarded -> error("a successful pull has no error")
}
