package dev.vanillarun.hosted.front

import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpHeaders
import kotlin.time.Duration

/** An answer to a caller. */
internal class Reply(
    val status: Int,
    /** Why, for the log. */
    val reason: String,
    val body: ByteArray = ByteArray(0),
    val headers: Headers = Headers.Empty,
    val retryAfter: Duration? = null,
) {
    companion object {
        private const val NOT_RUN = 503

        /** The request has not run and will not; the caller may send it again after [retryAfter]. */
        fun notRun(reason: String, retryAfter: Duration) = Reply(NOT_RUN, reason, retryAfter = retryAfter)

        /** [status] with [body] of media type [type]. */
        fun content(status: Int, reason: String, body: ByteArray, type: String): Reply {
            val headers = HeadersBuilder().apply { append(HttpHeaders.ContentType, type) }.build()
            return Reply(status, reason, body, headers)
        }
    }
}
