package dev.vanillarun.daemon.caller

import dev.vanillarun.adapters.settings.CallerLimits
import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import kotlin.time.Duration.Companion.seconds

/** Reads request bodies within [limits]. Their bytes are reserved in [bodies] until the call ends. */
public class BodyReader(private val limits: CallerLimits, private val bodies: BufferedBodies) {
    /** Reads the body of [call], or rejects it if it is too long, too slow or incomplete. */
    public suspend fun read(call: ApplicationCall): ValidationResult<ByteArray> {
        val contentLength = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
        if (contentLength > limits.maxBodyBytes) return tooLarge()
        val reservation = bodies.reservation()
        currentCoroutineContext().job.invokeOnCompletion { reservation.close() }
        if (!reservation.grow(contentLength)) return bufferFull()
        val body = Buffer()
        val read = withTimeoutOrNull(limits.requestReadTimeoutMs) { call.receiveChannel().readInto(body, reservation) }
        return when {
            read == null -> rejected(ErrorType.REQUEST_TIMEOUT, "the request body was not received in time")

            !read -> bufferFull()

            body.size > limits.maxBodyBytes -> tooLarge()

            else -> call.messageFault()?.let { rejected(ErrorType.INVALID_REQUEST, it.message) }
                ?: ValidationResult.Accepted(body.readByteArray())
        }
    }

    /** Reads to the end, or to the first byte over the limit; false if the instance may buffer no more bytes. */
    private suspend fun ByteReadChannel.readInto(body: Buffer, reservation: BufferedBodies.Reservation): Boolean {
        val limit = limits.maxBodyBytes + 1L
        while (body.size < limit) {
            val chunk = readRemaining(minOf(CHUNK_BYTES, limit - body.size))
            if (chunk.exhausted()) return true
            body.transferFrom(chunk)
            if (!reservation.grow(body.size)) return false
        }
        return true
    }

    private fun tooLarge() = rejected(ErrorType.BODY_TOO_LARGE, "the body is over ${limits.maxBodyBytes} bytes")

    private fun bufferFull() = ValidationResult.Rejected(
        ErrorResponse(ErrorType.QUEUE_FULL, "the instance buffers too many request bytes", retryAfter = RETRY_AFTER),
    )

    private fun rejected(type: ErrorType, message: String) = ValidationResult.Rejected(ErrorResponse(type, message))

    private companion object {
        /** Bytes read between two checks of the limits. */
        const val CHUNK_BYTES = 64L * 1024
        val RETRY_AFTER = 1.seconds
    }
}
