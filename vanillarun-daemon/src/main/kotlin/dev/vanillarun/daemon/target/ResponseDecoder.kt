package dev.vanillarun.daemon.target

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the responses of one connection, and reports bytes that belong to no response.
 *
 * Netty's client codec keeps bytes that follow a response, as the beginning of the next one.
 */
internal class ResponseDecoder(private val exchanges: ExchangeHandler, config: HttpDecoderConfig) :
    HttpResponseDecoder(config) {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        exchanges.current?.method == "HEAD" || super.isContentAlwaysEmpty(message)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (exchanges.isIdle && message is ByteBuf) {
            exchanges.reportStray(context.channel(), StrayKind.IDLE, "${message.readableBytes()} bytes")
        }
        super.channelRead(context, message)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        super.decode(context, buffer, out)
        val hasEnded = out.lastOrNull().let { it is LastHttpContent && it.decoderResult().isSuccess }
        if (hasEnded && buffer.isReadable) {
            exchanges.reportStray(context.channel(), StrayKind.EXCESS, "${buffer.readableBytes()} bytes")
        }
    }
}
