package dev.vanillarun.daemon.caller

import dev.vanillarun.adapters.settings.CallerLimits
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.id.RequestId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.config.ActiveConfig
import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of reading and validating a request or a part of it. */
public sealed interface ValidationResult<out T> {
    /** The request is valid so far. */
    public data class Accepted<T>(
        /** The validated value. */
        public val value: T,
    ) : ValidationResult<T>

    /** The request is rejected. */
    public data class Rejected(
        /** The response to the caller. */
        public val error: ErrorResponse,
    ) : ValidationResult<Nothing>
}

/** Applies [next] to an accepted value; passes a rejection on. */
public inline fun <A, B> ValidationResult<A>.then(next: (A) -> ValidationResult<B>): ValidationResult<B> = when (this) {
    is ValidationResult.Accepted -> next(value)
    is ValidationResult.Rejected -> this
}

/** Reads requests within [limits], authenticates their callers and determines their routes. */
public class RequestReader(
    private val limits: CallerLimits,
    private val bodies: BodyReader,
    private val clock: MonotonicClock,
) {
    /** Reads and validates [call] against [config]. Its headers must have passed [checkHeaders]. */
    public suspend fun read(
        call: ApplicationCall,
        id: RequestId,
        config: ActiveConfig,
    ): ValidationResult<CallerRequest> {
        val received = clock.now()
        val identity = config.identify(call.request.headers[HttpHeaders.Authorization])
        return checkIdentity(identity)
            .then { deadline(call) }
            .then { requested ->
                findRoute(call, config, identity).then { routed ->
                    val timeout = requested ?: routed.route.deadlineMs.milliseconds
                    contentType(call).then { accept(routed.request(call, id, identity, received + timeout, it.type)) }
                }
            }
    }

    private class RoutedRequest(val route: Route, val body: ByteArray, val json: JsonObject?) {
        fun request(
            call: ApplicationCall,
            id: RequestId,
            identity: Identity,
            deadline: Instant,
            contentType: ContentType?,
        ) = CallerRequest(
            id = id,
            method = call.request.httpMethod.value,
            path = call.request.path(),
            query = call.request.queryParameters,
            headers = call.request.headers,
            body = body,
            json = json,
            route = route,
            owner = (identity as? Identity.Authenticated)?.owner,
            secret = (identity as? Identity.Authenticated)?.secret,
            deadline = deadline,
            contentType = contentType,
        )
    }

    private fun checkIdentity(identity: Identity): ValidationResult<Unit> =
        if (identity == Identity.Rejected) reject(ErrorType.UNAUTHENTICATED, KEY_UNKNOWN) else accept(Unit)

    /** Checks the number of the headers of [call], and their total size in characters including the URI. */
    internal fun checkHeaders(call: ApplicationCall): ValidationResult<Unit> {
        val headers = call.request.headers
        var bytes = call.request.local.uri.length
        var count = 0
        headers.forEach { name, values ->
            count += values.size
            bytes += values.sumOf { name.length + it.length }
        }
        return when {
            count > limits.maxHeaderCount -> reject(ErrorType.HEADERS_TOO_LARGE, "too many header lines")
            bytes > limits.maxHeaderBytes -> reject(ErrorType.HEADERS_TOO_LARGE, "headers are too long")
            else -> accept(Unit)
        }
    }

    private class MediaType(val type: ContentType?)

    private fun contentType(call: ApplicationCall): ValidationResult<MediaType> = try {
        accept(MediaType(call.request.headers[HttpHeaders.ContentType]?.let(ContentType::parse)))
    } catch (_: BadContentTypeFormatException) {
        reject(ErrorType.INVALID_REQUEST, "Content-Type is malformed")
    }

    private fun deadline(call: ApplicationCall): ValidationResult<Duration?> {
        val text = call.request.headers[DEADLINE_HEADER] ?: return accept(null)
        val millis = text.toLongOrNull()?.takeIf { it in 1..limits.maxDeadlineMs }
            ?: return reject(ErrorType.INVALID_REQUEST, "$DEADLINE_HEADER must be 1 to ${limits.maxDeadlineMs}")
        return accept(millis.milliseconds)
    }

    private suspend fun findRoute(
        call: ApplicationCall,
        config: ActiveConfig,
        identity: Identity,
    ): ValidationResult<RoutedRequest> {
        val path = call.request.path()
        if (path in InferencePaths) {
            if (identity !is Identity.Authenticated && config.modelRoutes().none { it.open }) {
                return reject(ErrorType.UNAUTHENTICATED, KEY_MISSING)
            }
            return readBody(call, identity).then { body -> modelRoute(body, config, identity) }
        }
        val route = config.serviceRoute(path) ?: return routeNotFound(identity, "no route covers $path")
        return checkAccess(route, identity)
            .then { readBody(call, identity) }
            .then { body -> accept(RoutedRequest(route, body, null)) }
    }

    private fun modelRoute(body: ByteArray, config: ActiveConfig, identity: Identity): ValidationResult<RoutedRequest> {
        val json = parse(body) ?: return reject(ErrorType.INVALID_REQUEST, "the body must be a JSON object")
        val model = (json["model"] as? JsonPrimitive)?.content
            ?: return reject(ErrorType.INVALID_REQUEST, "the body must name a model")
        val route = config.modelRoute(model) ?: return routeNotFound(identity, "no route serves this model")
        return checkAccess(route, identity).then { accept(RoutedRequest(route, body, json)) }
    }

    private fun routeNotFound(identity: Identity, message: String): ValidationResult<Nothing> = when (identity) {
        is Identity.Authenticated -> reject(ErrorType.NO_ROUTE, message)
        else -> reject(ErrorType.UNAUTHENTICATED, KEY_MISSING)
    }

    private fun checkAccess(route: Route, identity: Identity): ValidationResult<Unit> = when {
        route.open -> accept(Unit)
        identity !is Identity.Authenticated -> reject(ErrorType.UNAUTHENTICATED, KEY_MISSING)
        route.allows(identity) -> accept(Unit)
        else -> reject(ErrorType.FORBIDDEN, "this customer may not use the route ${route.name}")
    }

    private suspend fun readBody(call: ApplicationCall, identity: Identity): ValidationResult<ByteArray> {
        val secret = (identity as? Identity.Authenticated)?.secret
        return bodies.read(call).then { body ->
            when {
                secret?.isIn(body) == true -> reject(ErrorType.KEY_IN_REQUEST, "the body holds the key")
                secret?.isIn(call.request.path()) == true -> reject(ErrorType.KEY_IN_REQUEST, "the path holds the key")
                else -> accept(body)
            }
        }
    }

    private fun parse(body: ByteArray): JsonObject? = try {
        Json.parseToJsonElement(body.decodeToString()) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

    private fun Route.allows(identity: Identity.Authenticated): Boolean =
        customers.isEmpty() || identity.owner.customer.id in customers

    private companion object {
        const val DEADLINE_HEADER = "X-Deadline-Ms"
        const val KEY_MISSING = "send a key as Authorization: Bearer"
        const val KEY_UNKNOWN = "the key is unknown or withdrawn"
        val InferencePaths = setOf("/v1/chat/completions", "/v1/completions")

        fun <T> accept(value: T): ValidationResult<T> = ValidationResult.Accepted(value)

        fun reject(type: ErrorType, message: String): ValidationResult<Nothing> =
            ValidationResult.Rejected(ErrorResponse(type, message))
    }
}
