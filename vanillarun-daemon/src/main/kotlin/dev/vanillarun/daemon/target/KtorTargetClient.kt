package dev.vanillarun.daemon.target

import dev.vanillarun.core.answer.isKnownStatus
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpStatement
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpMethod
import io.ktor.http.cio.ParserException
import io.ktor.http.content.ByteArrayContent
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

/** [TargetClient] over Ktor's client. Opens a new connection for each exchange, as probes need. */
public class KtorTargetClient(connectTimeoutMs: Long = 1_000) : TargetClient {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAX_CONNECTIONS
            endpoint {
                maxConnectionsPerRoute = MAX_CONNECTIONS
                connectTimeout = connectTimeoutMs
                connectAttempts = 1
            }
        }
    }

    override suspend fun <T> exchange(
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> {
        if (!request.sendGuard.permits()) return ExchangeResult.NotSent("withheld by its guard", unreachable = false)
        val statement = client.prepareRequest { fill(request) }
        var responseStarted = false
        return try {
            statement.executeWith {
                responseStarted = true
                if (isKnownStatus(it.status)) ExchangeResult.Answered(handle(it)) else malformed("status ${it.status}")
            }
        } catch (e: ConnectTimeoutException) {
            if (responseStarted) throw e else ExchangeResult.NotSent(e.summary())
        } catch (e: ConnectException) {
            if (responseStarted) throw e else ExchangeResult.NotSent(e.summary())
        } catch (e: UnresolvedAddressException) {
            if (responseStarted) throw e else ExchangeResult.NotSent(e.summary())
        } catch (e: ParserException) {
            if (responseStarted) throw e else malformed(e.summary())
        } catch (e: IOException) {
            if (responseStarted) throw e else ExchangeResult.Broken(e.summary())
        }
    }

    private fun malformed(reason: String) =
        ExchangeResult.Broken("not HTTP: $reason", cause = BreakCause.INVALID_ANSWER)

    private suspend fun <T> HttpStatement.executeWith(handle: suspend (TargetResponse) -> T): T = execute { response ->
        handle(TargetResponse(response.status.value, response.headers, ChannelBody(response.bodyAsChannel())))
    }

    private fun HttpRequestBuilder.fill(request: TargetRequest) {
        method = HttpMethod.parse(request.method)
        url(request.url)
        headers.appendAll(request.headers)
        if (request.body.isEmpty() && request.contentType == null) return
        setBody(ByteArrayContent(request.body, request.contentType))
    }

    private fun Throwable.summary(): String = "${this::class.simpleName}: ${message.orEmpty()}"

    override fun close(): Unit = client.close()

    private companion object {
        const val MAX_CONNECTIONS = 20_000
    }
}

private class ChannelBody(private val channel: ByteReadChannel) : ResponseBody {
    private val buffer = ByteArray(BUFFER_BYTES)

    override suspend fun next(): BodyPart {
        val count = channel.readAvailable(buffer, 0, buffer.size)
        return if (count < 0) BodyPart.End(channel.closedCause == null) else BodyPart.Bytes(buffer.copyOf(count))
    }

    private companion object {
        const val BUFFER_BYTES = 4096
    }
}
