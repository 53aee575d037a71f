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

/** The caller's side of a streamed answer. It outlives the attempts that feed it; [scope] is that of the call. */
public class CallerStream(private val call: ApplicationCall, private val scope: CoroutineScope) {
    private val end = CompletableDeferred<Unit>()
    private var channel: ByteWriteChannel? = null
    private var response: Job? = null

    /** True once a byte of the answer may have gone to the caller. */
    public val isOpen: Boolean get() = channel != null

    /** Begins the answer. */
    public suspend fun open(type: ContentType, status: HttpStatusCode, headers: Headers) {
        headers.forEach { name, values -> values.forEach { call.response.header(name, it) } }
        val opened = CompletableDeferred<ByteWriteChannel>()
        response = scope.launch {
            call.respondBytesWriter(type, status) {
                opened.complete(this)
                end.await()
            }
        }
        channel = opened.await()
    }

    /** Passes [bytes] on at once. */
    public suspend fun write(bytes: ByteArray) {
        val open = checkNotNull(channel) { "the stream is not open" }
        open.writeFully(bytes)
        open.flush()
    }

    /** Ends the answer as whole. */
    public suspend fun finish() {
        end.complete(Unit)
        response?.join()
    }

    /** Breaks the answer off, so that it cannot be taken for a whole one. */
    public suspend fun breakOff() {
        call.breakOff()
        finish()
    }

    /** Tells the caller of [error] and breaks the answer off, so that it cannot be taken for a whole one. */
    public suspend fun abort(error: ErrorResponse, request: RequestId) {
        write("data: ${error.body(request)}\n\n".encodeToByteArray())
        breakOff()
    }
}
