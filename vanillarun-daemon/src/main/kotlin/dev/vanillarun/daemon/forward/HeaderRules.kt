package dev.vanillarun.daemon.forward

import dev.vanillarun.daemon.caller.Secret
import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.Parameters
import io.ktor.http.ParametersBuilder

/** Filters the headers and query parameters that are forwarded between callers and targets. */
public object HeaderRules {
    private val hopByHop = setOf(
        "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
        "proxy-authenticate", "content-length", "expect",
    )
    private val secretHeaders = setOf("authorization", "proxy-authorization", "x-api-key", "api-key", "cookie")
    private val secretParameters = setOf("key", "api_key", "apikey", "access_token", "token")
    private val ownHeaders = setOf(
        "host",
        "x-request-id",
        "x-priority",
        "x-deadline-ms",
        "idempotency-key",
        "accept-encoding",
        "x-vanillarun-execution",
    )

    /** Removes hop-by-hop headers, credentials and this daemon's own headers from a caller's request. */
    public fun towardsTarget(headers: Headers, secret: Secret?): Headers {
        val hopHeaders = connectionTokens(headers)
        return headers.keepIf { name, value ->
            val lower = name.lowercase()
            val dropped = lower in hopByHop || lower in secretHeaders || lower in ownHeaders || lower in hopHeaders
            !dropped && secret?.isIn(value) != true && secret?.isIn(name) != true
        }
    }

    /** Removes hop-by-hop headers, cookies and this daemon's own headers from a target's response. */
    public fun towardsCaller(headers: Headers): Headers {
        val hopHeaders = connectionTokens(headers)
        return headers.keepIf { name, _ ->
            val lower = name.lowercase()
            lower !in hopByHop && lower !in ownHeaders && lower !in hopHeaders && lower != "set-cookie"
        }
    }

    /** Removes credentials from the query parameters of a caller's request. */
    public fun towardsTarget(query: Parameters, secret: Secret?): Parameters = ParametersBuilder().apply {
        query.forEach { name, values ->
            val safe = values.filter { secret?.isIn(it) != true }
            if (name.lowercase() !in secretParameters && secret?.isIn(name) != true) appendAll(name, safe)
        }
    }.build()

    private fun connectionTokens(headers: Headers): Set<String> = headers.getAll("Connection")
        .orEmpty()
        .flatMap { it.split(',') }
        .mapTo(HashSet()) { it.trim().lowercase() }

    private fun Headers.keepIf(keep: (String, String) -> Boolean): Headers = HeadersBuilder().also { filtered ->
        forEach { name, values -> values.filter { keep(name, it) }.forEach { filtered.append(name, it) } }
    }.build()
}
