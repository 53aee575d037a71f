package dev.vanillarun.daemon.target

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the responses of one connection. Bytes that follow a response, or that arrive while no exchange waits for
 * any, end the use of the connection, as Netty's decoders would keep them as the beginning of the next response.
 */
internal class ResponseDecoder(private val exchanges: ExchangeHandler, config: HttpDecoderConfig) :
    HttpResponseDecoder(config) {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        exchanges.current?.method == "HEAD" || super.isContentAlwaysEmpty(message)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf || !exchanges.isIdle) return super.channelRead(context, message)
        exchanges.reportStray(context.channel(), StrayKind.IDLE, "${message.readableBytes()} bytes")
        message.release()
        context.channel().reset()
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        if (!buffer.isReadable || !out.endsResponse()) return
        exchanges.reportStray(context.channel(), StrayKind.EXCESS, "${buffer.readableBytes()} bytes")
        exchanges.current?.onExcess()
        buffer.skipBytes(buffer.readableBytes())
    }

    /** True if the last of these messages ends a final response. */
    private fun List<Any>.endsResponse(): Boolean {
        val last = lastOrNull() as? LastHttpContent ?: return false
        val isInterim = any { it is HttpResponse && it.status().codeClass() == HttpStatusClass.INFORMATIONAL }
        return last.decoderResult().isSuccess && !isInterim
    }
}
