package dev.vanillarun.daemon.caller

import dev.vanillarun.adapters.settings.CallerLimits
import dev.vanillarun.core.id.RequestId
import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.forward.Forwarder
import dev.vanillarun.daemon.rollout.RolloutEndpoint
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.install
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlin.time.Duration.Companion.seconds

/** Serves callers: authenticates and validates each request and passes it to the [forwarder]. */
internal class CallerServer(
    private val config: StateFlow<ActiveConfig?>,
    private val reader: RequestReader,
    private val forwarder: Forwarder,
    private val ids: RequestIds,
    private val calls: ActiveCalls,
    private val limits: CallerLimits,
    private val rollouts: RolloutEndpoint,
    private val serving: StateFlow<ServingState>,
) {
    /** Installs the request handler in [application]. A call is cancelled when its caller closes the connection. */
    fun install(application: Application) {
        application.install(HttpRequestLifecycle) { cancelCallOnClose = true }
        application.intercept(ApplicationCallPipeline.Call) { calls.counted { handle(context) } }
    }

    private suspend fun handle(call: ApplicationCall) {
        val id = ids.next()
        call.response.header(REQUEST_ID_HEADER, id.value)
        val fault = call.headFault()
        if (fault != null) return call.respondError(id, ErrorResponse(ErrorType.INVALID_REQUEST, fault.message))
        val state = serving.value
        if (state != ServingState.SERVING) call.response.header(HttpHeaders.Connection, "close")
        val active = config.value
        val rejection = rejection(state, active)
        if (rejection != null || active == null) return call.respondError(id, rejection ?: notReady)
        serve(call, id, active)
    }

    private fun rejection(state: ServingState, active: ActiveConfig?): ErrorResponse? = when {
        state == ServingState.REFUSING -> draining
        active == null -> notReady
        calls.inProgress > limits.maxConnections -> tooMany
        else -> null
    }

    private suspend fun serve(call: ApplicationCall, id: RequestId, active: ActiveConfig) {
        val headers = reader.checkHeaders(call)
        if (headers is ValidationResult.Rejected) return call.respondError(id, headers.error)
        if (call.request.path() == MODELS_PATH) return models(call, id, active)
        if (rollouts.covers(call.request.path())) return rollouts.handle(call, id, active)
        when (val checked = reader.read(call, id, active)) {
            is ValidationResult.Rejected -> call.respondError(id, checked.error)
            is ValidationResult.Accepted -> forwarder.forward(call, checked.value, active)
        }
    }

    private suspend fun models(call: ApplicationCall, id: RequestId, active: ActiveConfig) {
        val identity = active.identify(call.request.headers["Authorization"])
        if (identity !is Identity.Authenticated) {
            call.respondError(id, ErrorResponse(ErrorType.UNAUTHENTICATED, "send a valid key"))
            return
        }
        val customer = identity.owner.customer.id
        val visible = active.modelRoutes().filter { it.open || it.customers.isEmpty() || customer in it.customers }
        val body = buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                visible.forEach { route ->
                    add(
                        buildJsonObject {
                            put("id", route.model)
                            put("object", "model")
                        },
                    )
                }
            }
        }
        call.respondText(body.toString(), ContentType.Application.Json)
    }

    private companion object {
        const val MODELS_PATH = "/v1/models"
        val draining = ErrorResponse(ErrorType.DRAINING, "the instance is draining", retryAfter = 1.seconds)
        val notReady = ErrorResponse(ErrorType.NOT_READY, "no configuration yet", retryAfter = 1.seconds)
        val tooMany = ErrorResponse(ErrorType.QUEUE_FULL, "too many requests", retryAfter = 1.seconds)
    }
}

/** Response header with the identity of the request. */
public const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Response header that says whether the request ran at a target; its values are those of `Execution`. */
public const val EXECUTION_HEADER: String = "X-Vanillarun-Execution"

/** Responds with the status, headers and JSON body of [error]; `Retry-After` is at least 1 second. */
public suspend fun ApplicationCall.respondError(id: RequestId, error: ErrorResponse) {
    response.header(EXECUTION_HEADER, error.execution.wire)
    error.retryAfter?.let { response.header("Retry-After", it.inWholeSeconds.coerceAtLeast(1).toString()) }
    respondText(error.body(id), ContentType.Application.Json, error.type.status)
}
