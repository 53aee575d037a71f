package dev.vanillarun.daemon

import dev.vanillarun.daemon.caller.Connections
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.defaultExceptionStatusCode
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respond
import kotlinx.coroutines.CancellationException
import kotlinx.io.IOException

/** HTTP server that has bound its address and accepts requests. */
public class HttpServer private constructor(
    private val server: EmbeddedServer<*, *>,
    /** Bound address, `host:port`, with the actual port. */
    public val address: String,
) {
    /** Stops without a grace period; open connections are closed. */
    public fun stop() {
        server.stop(0, 0)
    }

    /** Factory of servers. */
    public companion object {
        private const val MAX_LINE_BYTES = 8 * 1024
        private const val MAX_HEADER_BYTES = 64 * 1024

        /** Binds [listen], `host:port`; port 0 selects a free port. [connections] tracks and limits accepted ones. */
        public suspend fun start(
            listen: String,
            connections: Connections? = null,
            module: Application.() -> Unit,
        ): HttpServer {
            val hostName = listen.substringBeforeLast(':')
            val server = embeddedServer(
                Netty,
                configure = {
                    connector {
                        host = hostName
                        port = listen.substringAfterLast(':').toInt()
                    }
                    maxInitialLineLength = MAX_LINE_BYTES
                    maxHeaderSize = MAX_HEADER_BYTES
                    if (connections != null) {
                        configureBootstrap = { handler(connections.listener()) }
                        channelPipelineConfig = { connections.track(this) }
                    }
                },
                module = {
                    hideFailures()
                    module()
                },
            )
            server.startSuspend(wait = false)
            val port = server.engine.resolvedConnectors().first().port
            return HttpServer(server, "$hostName:$port")
        }
    }
}

/** Answers a call whose handler throws without the text of the exception, which goes to the log. */
@Suppress("TooGenericExceptionCaught") // Any defect that one request brings to light.
private fun Application.hideFailures() = intercept(ApplicationCallPipeline.Setup) {
    try {
        proceed()
    } catch (e: CancellationException) {
        throw e
    } catch (e: IOException) {
        throw e
    } catch (e: Exception) {
        if (context.response.isCommitted) throw e
        this@hideFailures.environment.log.error("a call failed", e)
        context.respond(defaultExceptionStatusCode(e) ?: HttpStatusCode.InternalServerError)
    }
}
