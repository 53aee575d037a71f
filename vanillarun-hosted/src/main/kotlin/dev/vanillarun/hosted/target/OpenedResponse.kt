package dev.vanillarun.hosted.target

import dev.vanillarun.daemon.caller.BufferedBodies
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.daemon.target.ConnectionUse
import dev.vanillarun.daemon.target.ResponseBody
import dev.vanillarun.daemon.target.TargetResponse
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import kotlinx.io.Buffer
import kotlinx.io.readByteArray

/** A response whose head has arrived and whose request id was checked. */
public class OpenedResponse(
    /** Decoded status and headers. */
    public val head: ResponseHead,
    private val response: TargetResponse,
    private val buffers: BufferedBodies,
) {
    /** All headers as received. */
    public val headers: Headers get() = response.headers

    /** Body, still being received. */
    public val body: ResponseBody = ResponseBody { read() }

    /** How the body stands for the target: answered unless a read of it broke off or was given up. */
    internal var result: RequestResult = RequestResult.ANSWERED
        private set

    /** Use of the connection that carries the response; null if unknown. */
    public val connection: ConnectionUse? get() = response.connection

    /** True if only the end of the connection ends the body. */
    public val endsWithConnection: Boolean
        get() = HttpHeaders.ContentLength !in headers && HttpHeaders.TransferEncoding !in headers

    /**
     * Reads the rest of the body; null if it is truncated, exceeds [limit] bytes, or if the process buffers too much
     * of other responses. A body that fits into a small buffer is read whatever the others take.
     */
    public suspend fun readBody(limit: Int): ByteArray? = buffers.reservation().use { reservation ->
        body.readFully(limit) { it <= SMALL_BODY_BYTES || reservation.grow(it) }
    }

    private suspend fun read(): BodyPart {
        result = RequestResult.INCONCLUSIVE // stays if the read is cancelled
        val part = response.body.next()
        result = if (part is BodyPart.End) part.result else RequestResult.ANSWERED
        return part
    }

    private val BodyPart.End.result: RequestResult
        get() = if (clean) RequestResult.ANSWERED else cause.result

    private companion object {
        /** Size up to which a body needs no reservation; longer ones compete for the buffers among themselves. */
        const val SMALL_BODY_BYTES = 64L * 1024
    }
}

/**
 * Reads the rest of the body; null if it is truncated, exceeds [limit] bytes, or if [mayBuffer] denies the size that
 * it has reached.
 */
public suspend fun ResponseBody.readFully(limit: Int, mayBuffer: (bytes: Long) -> Boolean = { true }): ByteArray? {
    val whole = Buffer()
    while (true) {
        when (val part = next()) {
            is BodyPart.Bytes -> whole.write(part.bytes)
            is BodyPart.End -> return if (part.clean) whole.readByteArray() else null
        }
        if (whole.size > limit || !mayBuffer(whole.size)) return null
    }
}
