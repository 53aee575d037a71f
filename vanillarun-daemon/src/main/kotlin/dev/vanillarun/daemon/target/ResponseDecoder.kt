package dev.vanillarun.daemon.target

import dev.vanillarun.core.answer.statusLineFault
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
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
    private val head = StringBuilder()
    private var readsHead = true

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        exchanges.current?.method == "HEAD" || super.isContentAlwaysEmpty(message)

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message !is ByteBuf || !exchanges.isIdle) return super.channelRead(context, message)
        exchanges.reportStray(context.channel(), StrayKind.IDLE, "${message.readableBytes()} bytes")
        message.release()
        context.channel().reset()
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val start = buffer.readerIndex()
        super.decode(context, buffer, out)
        val read = buffer.readerIndex() - start
        if (readsHead) checkHead(context, buffer.toString(start, read, Charsets.ISO_8859_1), out)
        if (out.lastOrNull() is LastHttpContent) readsHead = true
        if (!buffer.isReadable || !out.endsResponse()) return
        val shown = minOf(buffer.readableBytes(), MAX_SHOWN_BYTES)
        exchanges.current?.onExcess(buffer.toString(buffer.readerIndex(), shown, Charsets.ISO_8859_1))
        if (exchanges.current?.mayHold(out) == true) return
        exchanges.reportStray(context.channel(), StrayKind.EXCESS, "${buffer.readableBytes()} bytes")
        buffer.skipBytes(buffer.readableBytes())
    }

    /** Adds [part] to the head, and checks it once the decoder has seen its end. */
    private fun checkHead(context: ChannelHandlerContext, part: String, out: List<Any>) {
        head.append(part)
        val response = out.firstNotNullOfOrNull { it as? HttpResponse } ?: return
        val fault = statusLineFault(head.toString())
        if (fault != null && response.decoderResult().isSuccess) {
            // Not an IOException, which would tell of the end of the connection.
            response.decoderResult = DecoderResult.failure(IllegalArgumentException("$fault"))
        }
        exchanges.current?.takeIf { it.isOpen }?.let { exchange ->
            val isFinal = response.status().codeClass() != HttpStatusClass.INFORMATIONAL
            val replaces = exchange.holdsWhole && isFinal && response.decoderResult().isSuccess
            if (replaces) exchanges.reportStray(context.channel(), StrayKind.REPEATED, "a copy of an answer")
            exchange.onHeadBytes(head.toString())
        }
        head.clear()
        readsHead = false
    }

    /** True if the last of these messages ends a final response. */
    private fun List<Any>.endsResponse(): Boolean {
        val last = lastOrNull() as? LastHttpContent ?: return false
        val isInterim = any { it is HttpResponse && it.status().codeClass() == HttpStatusClass.INFORMATIONAL }
        return last.decoderResult().isSuccess && !isInterim
    }

    private companion object {
        /** Bytes after a response that are looked at; more than the beginning of a status line takes. */
        const val MAX_SHOWN_BYTES = 64
    }
}
