package dev.vanillarun.daemon.fake

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respond
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CopyOnWriteArrayList

/** A request as received by a target; header names are in lower case. */
data class SeenCall(val method: String, val uri: String, val headers: Map<String, List<String>>, val body: String) {
    fun header(name: String): String? = headers[name.lowercase()]?.firstOrNull()
}

/** HTTP target that records requests and responds by [handle]. Load requests get 404 and are not recorded. */
class FakeTarget(private val handle: suspend ApplicationCall.(SeenCall) -> Unit) : AutoCloseable {
    val seen: MutableList<SeenCall> = CopyOnWriteArrayList()
    private val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
        intercept(ApplicationCallPipeline.Call) {
            val headers = context.request.headers.entries().associate { it.key.lowercase() to it.value }
            val call = SeenCall(
                context.request.httpMethod.value,
                context.request.uri,
                headers,
                context.receiveText(),
            )
            if (call.uri.endsWith("/load")) {
                context.respond(HttpStatusCode.NotFound)
            } else {
                seen += call
                context.handle(call)
            }
        }
    }.start(wait = false)

    val address: String = "http://127.0.0.1:" + runBlocking { server.engine.resolvedConnectors().first().port }

    override fun close() {
        server.stop(0, 0)
    }
}
