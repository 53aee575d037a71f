package dev.vanillarun.daemon.target

import dev.vanillarun.core.platform.SendGuard
import io.ktor.http.ContentType
import io.ktor.http.Headers

/** An HTTP request to a target. */
public class TargetRequest(
    /** HTTP method in upper case. */
    public val method: String,
    /** Absolute URL with the query string. */
    public val url: String,
    /** Headers except `Content-Type` and `Content-Length`, which follow from the body. */
    public val headers: Headers,
    /** Media type of the body; null sends no `Content-Type`. */
    public val contentType: ContentType? = null,
    /** Complete request body; empty if there is none. */
    public val body: ByteArray = ByteArray(0),
    /** True if the request must have a connection of its own, since it cannot be repeated if that turns out dead. */
    public val freshConnection: Boolean = false,
    /** Last check before the first byte is sent; clients that cannot check then do so before they connect. */
    public val sendGuard: SendGuard = SendGuard.Always,
    /**
     * Id that the answer has to name; null if answers to such requests name none. No connection carries an id twice.
     */
    public val id: String? = null,
)

/** Result of one read from a response body. */
public sealed interface BodyPart {
    /** The next bytes of the body. */
    public class Bytes(
        /** Bytes in the order received; the reader owns the array. */
        public val bytes: ByteArray,
    ) : BodyPart

    /** End of the body; no part follows. */
    public data class End(
        /** True if the transport saw the regular end of the body; false if the connection broke. */
        public val clean: Boolean,
        /** Why the body is not complete; null if it is. */
        public val cause: BreakCause? = if (clean) null else BreakCause.CONNECTION_ENDED,
    ) : BodyPart
}

/** Body of a response, read as it arrives. */
public fun interface ResponseBody {
    /** Waits for the next part; not to be called again after [BodyPart.End]. */
    public suspend fun next(): BodyPart
}

/** Status and headers of a target's response, with its body still to be read. */
public class TargetResponse(
    /** Final HTTP status code. */
    public val status: Int,
    /** Response headers as received. */
    public val headers: Headers,
    /** Body, readable only while the handler of the exchange runs. */
    public val body: ResponseBody,
    /** Use of the connection that carried the response; null if the client does not know. */
    public val connection: ConnectionUse? = null,
)

/** Result of one HTTP exchange with a target. */
public sealed interface ExchangeResult<out T> {
    /** A response started and the handler returned. */
    public data class Answered<T>(
        /** Value that the handler returned. */
        public val value: T,
    ) : ExchangeResult<T>

    /** The connection could not be opened, or [TargetRequest.sendGuard] denied the request: no byte was sent. */
    public data class NotSent(
        /** Error as text, for events and logs. */
        public val reason: String,
        /** True if no connection could be opened; false if this side did not send, which says nothing of the target. */
        public val unreachable: Boolean = true,
    ) : ExchangeResult<Nothing>

    /** The exchange broke before a response started; the target may have run the request. */
    public data class Broken(
        /** Error as text, for events and logs. */
        public val reason: String,
        /** Use of the connection that broke; null if the client does not know. */
        public val connection: ConnectionUse? = null,
        /** What the break tells about the target. */
        public val cause: BreakCause = BreakCause.CONNECTION_ENDED,
    ) : ExchangeResult<Nothing>

    /** The connection is dead while the target responds on others; the target may have run the request. */
    public data object DeadConnection : ExchangeResult<Nothing>
}

/** HTTP client for targets. Cancelling an exchange closes its connection, which cancels the request at the target. */
public interface TargetClient : AutoCloseable {
    /** Sends [request] and passes its response to [handle] once status and headers have arrived. */
    public suspend fun <T> exchange(request: TargetRequest, handle: suspend (TargetResponse) -> T): ExchangeResult<T>

    /** True if an idle connection to [address], `host:port`, is pooled; false if the client does not know. */
    public fun isWarm(address: String): Boolean = false

    /** Reports to [listener] what targets send without being an answer, where the client notices it. */
    public fun onStrayAnswer(listener: StrayAnswerListener) {}
}
