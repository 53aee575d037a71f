package dev.vanillarun.hosted.front

import dev.vanillarun.hosted.live.LiveOutcome
import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpHeaders
import kotlin.time.Duration

/** How a stream towards a caller ended. */
internal enum class StreamEnd {
    /** Its last event was passed on. */
    WHOLE,

    /** It cannot be taken for a whole one. */
    BROKEN_OFF,
}

/** An answer to a caller. */
internal class Reply(
    val status: Int,
    /** Why, for the log. */
    val reason: String,
    val body: ByteArray = ByteArray(0),
    val headers: Headers = Headers.Empty,
    val retryAfter: Duration? = null,
    /** How the stream ended that was passed on instead of [body]; null for an answer in one piece. */
    val stream: StreamEnd? = null,
) {
    companion object {
        private const val OK = 200
        private const val NOT_RUN = 503

        /** The request has not run and will not; the caller may send it again after [retryAfter]. */
        fun notRun(reason: String, retryAfter: Duration) = Reply(NOT_RUN, reason, retryAfter = retryAfter)

        /** The answer was passed on as a stream that ended as [outcome] tells. */
        fun streamed(outcome: LiveOutcome.Streamed): Reply {
            val end = if (outcome.complete) StreamEnd.WHOLE else StreamEnd.BROKEN_OFF
            return Reply(OK, "stream ended after event ${outcome.last}: ${outcome.reason}", stream = end)
        }

        /** [status] with [body] of media type [type]. */
        fun content(status: Int, reason: String, body: ByteArray, type: String): Reply {
            val headers = HeadersBuilder().apply { append(HttpHeaders.ContentType, type) }.build()
            return Reply(status, reason, body, headers)
        }
    }
}
