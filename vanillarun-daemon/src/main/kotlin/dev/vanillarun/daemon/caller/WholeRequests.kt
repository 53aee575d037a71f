package dev.vanillarun.daemon.caller

import dev.vanillarun.core.request.RequestFault
import dev.vanillarun.core.request.UnreadPart
import dev.vanillarun.core.request.headFault
import io.ktor.server.application.ApplicationCall
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.AttributeKey
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi

/** How a message ended: null once its last content was decoded without a fault. */
private class MessageEnd : AbstractList<String>() {
    val fault = CompletableDeferred<RequestFault?>()
    override val size: Int get() = 1

    override fun get(index: Int): String = ""
}

/** Fields of a request, with its [end] by a name that no field can have, as Ktor shows nothing else of a message. */
private class RequestFields(fields: HttpHeaders, private val end: MessageEnd) : DefaultHttpHeaders() {
    init {
        add(fields)
    }

    override fun getAll(name: String): List<String> = if (name == MESSAGE_END) end else super.getAll(name)
}

/** Name by which the fields of a request hold the end of its message. */
internal const val MESSAGE_END: String = ":end"

/**
 * Notes for each request whether it arrived as one whole message. After a message whose end cannot be known, nothing
 * that arrives on the connection is a request any more, and the connection ends with the response to that message.
 * [onFault] receives the fault of each such message once.
 */
internal class WholeRequests(private val onFault: (RequestFault) -> Unit = {}) : ChannelInboundHandlerAdapter() {
    private var current: MessageEnd? = null
    private var ended = false

    /** Number of heads so far. */
    var heads: Int = 0
        private set

    /** True while the body of a request has not come to its end. */
    val inBody: Boolean get() = current != null && !ended

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            ended -> ReferenceCountUtil.release(message)
            message is HttpRequest -> begin(context, message)
            message is HttpContent -> content(context, message)
            else -> super.channelRead(context, message)
        }
    }

    private fun begin(context: ChannelHandlerContext, message: HttpRequest) {
        heads++
        val end = MessageEnd()
        val fields = RequestFields(message.headers(), end)
        val request = DefaultHttpRequest(message.protocolVersion(), message.method(), message.uri(), fields)
        val fault = message.fault()
        ReferenceCountUtil.release(message)
        current = end
        if (fault == null) {
            context.fireChannelRead(request)
        } else {
            endConnection(context, fault)
            fields.remove(HttpHeaderNames.TRANSFER_ENCODING)
            fields.remove(HttpHeaderNames.CONTENT_LENGTH)
            context.fireChannelRead(request)
            context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
        }
    }

    private fun content(context: ChannelHandlerContext, message: HttpContent) {
        when {
            message.decoderResult().isFailure -> endConnection(context, RequestFault.Undecodable)
            message is LastHttpContent -> finish(null)
        }
        context.fireChannelRead(message)
    }

    /** Ends the body that stands still with a fault, and with it the connection. */
    fun stall(context: ChannelHandlerContext) {
        if (!inBody) return
        endConnection(context, RequestFault.Stalled)
        context.fireChannelRead(LastHttpContent.EMPTY_LAST_CONTENT)
        context.fireChannelReadComplete()
    }

    /** Ends the connection, on which a head has begun and stands still. */
    fun stallHead(context: ChannelHandlerContext) {
        if (!ended) endConnection(context, RequestFault.Stalled)
    }

    private fun endConnection(context: ChannelHandlerContext, fault: RequestFault) {
        ended = true
        context.channel().attr(LAST_REQUEST).set(true)
        onFault(fault)
        finish(fault)
    }

    private fun finish(fault: RequestFault?) {
        current?.fault?.complete(fault)
        current = null
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        finish(RequestFault.Truncated)
        super.channelInactive(context)
    }

    override fun handlerRemoved(context: ChannelHandlerContext) = finish(RequestFault.Truncated)
}

/** Fault of this head as the decoder left it; null if it was read whole and tells where its body ends. */
private fun HttpRequest.fault(): RequestFault? {
    val failure = decoderResult().cause()
    val unread = when {
        failure == null -> null
        failure is TooLongHttpLineException -> UnreadPart.LONG_REQUEST_LINE
        failure is TooLongHttpHeaderException -> UnreadPart.LONG_FIELDS
        this is FullHttpRequest -> UnreadPart.REQUEST_LINE
        else -> UnreadPart.FIELDS
    }
    val lengths = headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
    return headFault(protocolVersion().text(), lengths, headers().getAll(HttpHeaderNames.TRANSFER_ENCODING), unread)
}

/** Set on a connection whose last request was read. */
internal val LAST_REQUEST: AttributeKey<Boolean> = AttributeKey.valueOf("vanillarun.lastRequest")

/** Fault of the request that is known already with its head; null if there is none so far. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun ApplicationCall.headFault(): RequestFault? {
    val end = request.headers.getAll(MESSAGE_END).messageEnd()
    return if (end.isCompleted) end.getCompleted() else null
}

/** Waits for the end of the message; null if it arrived whole, and may run. */
public suspend fun ApplicationCall.messageFault(): RequestFault? =
    request.headers.getAll(MESSAGE_END).messageEnd().await()

/** Completes when the message ends whose fields hold this under [MESSAGE_END]. */
internal fun List<String>?.messageEnd(): Deferred<RequestFault?> =
    (this as? MessageEnd ?: error("the message's end is not tracked")).fault
