package dev.vanillarun.hosted.front

import dev.vanillarun.core.request.RequestFault
import dev.vanillarun.hosted.live.LiveOutcome
import dev.vanillarun.hosted.live.ResponseSource
import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.ktor.http.HttpHeaders
import kotlin.time.Duration

/** How a stream to a caller ended. */
internal enum class StreamEnd {
    /** All events were sent, and the response ends normally. */
    COMPLETE,

    /** The response is aborted, so that the caller cannot mistake it for a complete one. */
    ABORTED,
}

/** Response to a caller. */
internal class Reply(
    val status: Int,
    /** Reason for the event log; not sent to the caller. */
    val reason: String,
    val body: ByteArray = ByteArray(0),
    val headers: Headers = Headers.Empty,
    val retryAfter: Duration? = null,
    /** End of the stream that was sent instead of [body]; null for a response with a body. */
    val stream: StreamEnd? = null,
    /** Where the response came from; null if not from a target, or if it was streamed. */
    val source: ResponseSource? = null,
) {
    companion object {
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val NOT_IMPLEMENTED = 501
        private const val NOT_RUN = 503

        /** The request has not run and will not run; the caller may retry after [retryAfter]. */
        fun notRun(reason: String, retryAfter: Duration) = Reply(NOT_RUN, reason, retryAfter = retryAfter)

        /** The request is invalid; [message] names the place and the mend to the caller. */
        fun malformed(message: String, status: Int = BAD_REQUEST): Reply =
            content(status, "malformed: $message", "$message\n".encodeToByteArray(), "text/plain; charset=utf-8")

        /** The request has [fault] and was not run. */
        fun faulty(fault: RequestFault): Reply =
            malformed(fault.message, if (fault is RequestFault.UnknownCoding) NOT_IMPLEMENTED else BAD_REQUEST)

        /** The response was already sent as a stream with this [outcome]. */
        fun streamed(outcome: LiveOutcome.Streamed): Reply {
            val end = if (outcome.complete) StreamEnd.COMPLETE else StreamEnd.ABORTED
            return Reply(OK, "stream ended after event ${outcome.lastEventNumber}: ${outcome.reason}", stream = end)
        }

        /** Response with [body] of media type [type]. */
        fun content(status: Int, reason: String, body: ByteArray, type: String): Reply {
            val headers = HeadersBuilder().apply { append(HttpHeaders.ContentType, type) }.build()
            return Reply(status, reason, body, headers)
        }
    }
}
