package dev.vanillarun.daemon.target

import io.ktor.http.ContentType
import io.ktor.http.Headers

/** A request as it leaves towards a target. */
public class TargetRequest(
    /** HTTP method. */
    public val method: String,
    /** Absolute address with query. */
    public val url: String,
    /** Headers without those of the body. */
    public val headers: Headers,
    /** Media type of the body, if it has one. */
    public val contentType: ContentType? = null,
    /** The whole body. */
    public val body: ByteArray = ByteArray(0),
    /** True if it must not go out on a connection that was open for long. */
    public val freshConnection: Boolean = false,
)

/** Outcome of reading an answer's body. */
public sealed interface BodyPart {
    /** More of the body. */
    public class Bytes(
        /** The bytes. */
        public val bytes: ByteArray,
    ) : BodyPart

    /** The body ended. */
    public data class End(
        /** True if the transport saw its regular end; false if the connection broke. */
        public val clean: Boolean,
    ) : BodyPart
}

/** Body of an answer, read as it arrives. */
public fun interface ResponseBody {
    /** Waits for the next part. */
    public suspend fun next(): BodyPart
}

/** The beginning of a target's answer. */
public class TargetResponse(
    /** HTTP status. */
    public val status: Int,
    /** Headers. */
    public val headers: Headers,
    /** Body. */
    public val body: ResponseBody,
)

/** How an exchange with a target ended. */
public sealed interface ExchangeResult<out T> {
    /** The answer began and was handled. */
    public data class Answered<T>(
        /** What the handler made of it. */
        public val value: T,
    ) : ExchangeResult<T>

    /** No byte of the request left. */
    public data class NotSent(
        /** What was seen. */
        public val reason: String,
    ) : ExchangeResult<Nothing>

    /** The connection broke before an answer began; the target may have run the request. */
    public data class Broken(
        /** What was seen. */
        public val reason: String,
    ) : ExchangeResult<Nothing>

    /** The connection went silent while the target answers on others; the target may have run the request. */
    public data object DeadConnection : ExchangeResult<Nothing>
}

/** Sends requests to targets. Cancelling a call closes its connection, which cancels it at the target. */
public interface TargetClient : AutoCloseable {
    /** Sends [request] and hands the beginning of its answer to [handle]. */
    public suspend fun <T> exchange(request: TargetRequest, handle: suspend (TargetResponse) -> T): ExchangeResult<T>

    /** True if an open connection to [address], `host:port`, waits for an exchange; false where this is unknown. */
    public fun isWarm(address: String): Boolean = false
}
