package dev.vanillarun.daemon.stream

import dev.vanillarun.core.id.RequestId
import dev.vanillarun.daemon.caller.ErrorResponse
import dev.vanillarun.daemon.caller.breakOff
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch

/**
 * Writes a streamed response to the caller. It outlives the attempts that supply its content; [scope] is the scope of
 * the call.
 */
public class CallerStream(private val call: ApplicationCall, private val scope: CoroutineScope) {
    private val end = CompletableDeferred<Unit>()
    private var channel: ByteWriteChannel? = null
    private var response: Job? = null

    /** True once a byte of the response may have been sent to the caller. */
    public val isOpen: Boolean get() = channel != null

    /** Starts the response with these [headers], but for those it has; returns once its body can be written. */
    public suspend fun open(type: ContentType, status: HttpStatusCode, headers: Headers) {
        headers.forEach { name, values ->
            if (name !in call.response.headers) values.forEach { call.response.header(name, it) }
        }
        val opened = CompletableDeferred<ByteWriteChannel>()
        response = scope.launch {
            call.respondBytesWriter(type, status) {
                opened.complete(this)
                end.await()
            }
        }
        channel = opened.await()
    }

    /** Writes [bytes] and flushes them. The stream must be open. */
    public suspend fun write(bytes: ByteArray) {
        val open = checkNotNull(channel) { "the stream is not open" }
        open.writeFully(bytes)
        open.flush()
    }

    /** Ends the response as complete, and waits until it is sent. */
    public suspend fun finish() {
        end.complete(Unit)
        response?.join()
    }

    /** Ends the response by closing its connection, so that the caller sees it as incomplete. */
    public suspend fun breakOff() {
        call.breakOff()
        finish()
    }

    /** Sends [error] as an event, then ends the response as [breakOff] does. */
    public suspend fun abort(error: ErrorResponse, request: RequestId) {
        write("data: ${error.body(request)}\n\n".encodeToByteArray())
        breakOff()
    }
}
