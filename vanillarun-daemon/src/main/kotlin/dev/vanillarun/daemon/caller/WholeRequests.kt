package dev.vanillarun.daemon.caller

import dev.vanillarun.core.request.RequestFault
import dev.vanillarun.core.request.codingFault
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
import io.netty.util.AttributeKey
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred

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

    override fun getAll(name: String): List<String> = if (name == END) end else super.getAll(name)
}

private const val END = ":end"

/**
 * Notes for each request whether it arrived as one whole message. After a message whose end cannot be known, nothing
 * that arrives on the connection is a request any more, and the connection ends with the response to that message.
 */
internal class WholeRequests : ChannelInboundHandlerAdapter() {
    private var current: MessageEnd? = null
    private var ended = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            ended -> ReferenceCountUtil.release(message)
            message is HttpRequest && message !is FullHttpRequest -> begin(context, message)
            message is HttpContent -> content(context, message)
            else -> super.channelRead(context, message)
        }
    }

    private fun begin(context: ChannelHandlerContext, message: HttpRequest) {
        val end = MessageEnd()
        val fields = RequestFields(message.headers(), end)
        val request = DefaultHttpRequest(message.protocolVersion(), message.method(), message.uri(), fields)
        val codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val fault = codingFault(message.protocolVersion().text(), codings)
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

    private fun endConnection(context: ChannelHandlerContext, fault: RequestFault) {
        ended = true
        context.channel().attr(LAST_REQUEST).set(true)
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

/** Set on a connection whose last request was read. */
internal val LAST_REQUEST: AttributeKey<Boolean> = AttributeKey.valueOf("vanillarun.lastRequest")

/** Waits for the end of the message; null if it arrived whole, and may run. */
public suspend fun ApplicationCall.messageFault(): RequestFault? {
    val end = request.headers.getAll(END) as? MessageEnd ?: error("the message's end is not tracked")
    return end.fault.await()
}
