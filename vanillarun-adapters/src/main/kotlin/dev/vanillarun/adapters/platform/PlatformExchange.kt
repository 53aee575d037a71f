package dev.vanillarun.adapters.platform

import dev.vanillarun.core.platform.SendGuard
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val CONNECT_TIMEOUT_MS = 2_000L

/** Delay before a retry if the refusal has no `Retry-After` header in seconds. */
internal val DEFAULT_RETRY_AFTER: Duration = 1.seconds

/**
 * Creates a client for calls to the platform.
 *
 * Every call opens its own connection, so that none is sent on a pooled connection that has failed undetected.
 */
public fun platformHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    followRedirects = false
    install(HttpTimeout) { connectTimeoutMillis = CONNECT_TIMEOUT_MS }
}

/** Outcome of one HTTP exchange, before its status code is interpreted. */
internal sealed interface ExchangeResult {
    /** A complete response arrived. [retryAfter] has a default if the header is absent; [tag] is the `ETag`. */
    data class Response(val status: Int, val body: String, val retryAfter: Duration, val tag: String? = null) :
        ExchangeResult

    /** No byte of the request was sent. */
    data class NotSent(val reason: String) : ExchangeResult

    /** The guard refused, so the body was not sent. */
    data object Withheld : ExchangeResult

    /** The request may have been sent, but no complete response arrived. */
    data class Incomplete(val reason: String) : ExchangeResult
}

/** Sends a request to [url], with a JSON [body] if given, and waits up to [timeout] for the complete response. */
internal suspend fun HttpClient.exchange(
    method: HttpMethod,
    url: String,
    timeout: Duration,
    body: String? = null,
    guard: SendGuard = SendGuard.Always,
    configure: HttpRequestBuilder.() -> Unit = {},
): ExchangeResult {
    val guarded = body?.let { GuardedBody(it, guard) }
    return try {
        withTimeoutOrNull(timeout) {
            val response = request {
                this.method = method
                url(url)
                guarded?.let { setBody(it) }
                configure()
            }
            val after = response.headers[HttpHeaders.RetryAfter]?.toLongOrNull()?.seconds ?: DEFAULT_RETRY_AFTER
            val tag = response.headers[HttpHeaders.ETag]
            ExchangeResult.Response(response.status.value, response.bodyAsText(), after, tag)
        } ?: guarded.incomplete("no answer within $timeout")
    } catch (e: CancellationException) {
        if (guarded?.withheld == true) ExchangeResult.Withheld else throw e
    } catch (e: IOException) {
        if (e.isConnectFailure()) ExchangeResult.NotSent(e.reason()) else guarded.incomplete(e.reason())
    } catch (e: UnresolvedAddressException) {
        ExchangeResult.NotSent(e.reason())
    } catch (e: IllegalStateException) {
        guarded.incomplete(e.reason())
    }
}

private fun IOException.isConnectFailure(): Boolean = this is ConnectException || this is NoRouteToHostException

private fun Exception.reason(): String = message ?: javaClass.simpleName

private fun GuardedBody?.incomplete(reason: String): ExchangeResult =
    if (this?.withheld == true) ExchangeResult.Withheld else ExchangeResult.Incomplete(reason)

/** Thrown when the guard refuses, which closes the connection before the request is complete. */
internal class WithheldException : IOException("request body withheld by the send guard")

/** A request body that checks [guard] immediately before its bytes are written. */
internal class GuardedBody(text: String, private val guard: SendGuard) : OutgoingContent.WriteChannelContent() {
    private val bytes = text.encodeToByteArray()

    /** True once the guard has refused. */
    @Volatile
    var withheld: Boolean = false
        private set

    override val contentType: ContentType = ContentType.Application.Json
    override val contentLength: Long = bytes.size.toLong()

    override suspend fun writeTo(channel: ByteWriteChannel) {
        channel.flush()
        if (!guard.permits()) {
            withheld = true
            throw WithheldException()
        }
        channel.writeFully(bytes)
        channel.flush()
    }
}
