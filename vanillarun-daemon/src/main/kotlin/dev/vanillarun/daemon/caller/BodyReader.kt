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

/** Reads the bodies of calls within [limits]; what they hold until their call ends is counted in [bodies]. */
public class BodyReader(private val limits: CallerLimits, private val bodies: BufferedBodies) {
    /** The body of [call]. */
    public suspend fun read(call: ApplicationCall): ValidationResult<ByteArray> {
        val announced = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull() ?: 0
        if (announced > limits.maxBodyBytes) return tooLarge()
        val reservation = bodies.reservation()
        currentCoroutineContext().job.invokeOnCompletion { reservation.close() }
        if (!reservation.grow(announced)) return full()
        val body = Buffer()
        val read = withTimeoutOrNull(limits.requestReadTimeoutMs) { call.receiveChannel().readInto(body, reservation) }
        return when {
            read == null -> rejected(ErrorType.REQUEST_TIMEOUT, "the request was not sent in time")
            !read -> full()
            body.size > limits.maxBodyBytes -> tooLarge()
            body.size < announced -> rejected(ErrorType.INVALID_REQUEST, "the body is shorter than announced")
            else -> ValidationResult.Accepted(body.readByteArray())
        }
    }

    /** Reads to the end, or to the first byte over the bound; false if the instance may hold no more. */
    private suspend fun ByteReadChannel.readInto(body: Buffer, reservation: BufferedBodies.Reservation): Boolean {
        val most = limits.maxBodyBytes + 1L
        while (body.size < most) {
            val part = readRemaining(minOf(PART_BYTES, most - body.size))
            if (part.exhausted()) return true
            body.transferFrom(part)
            if (!reservation.grow(body.size)) return false
        }
        return true
    }

    private fun tooLarge() = rejected(ErrorType.BODY_TOO_LARGE, "the body is over ${limits.maxBodyBytes} bytes")

    private fun full() = ValidationResult.Rejected(
        ErrorResponse(ErrorType.QUEUE_FULL, "the instance holds too many bytes of requests", retryAfter = RETRY_AFTER),
    )

    private fun rejected(type: ErrorType, message: String) = ValidationResult.Rejected(ErrorResponse(type, message))

    private companion object {
        /** Bytes read between two looks at the bound. */
        const val PART_BYTES = 64L * 1024
        val RETRY_AFTER = 1.seconds
    }
}
