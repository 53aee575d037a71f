package dev.vanillarun.daemon.target

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import kotlin.time.TimeSource

/** Passes messages to the current exchange; a message that belongs to no exchange resets the connection. */
internal class ExchangeHandler(private val strays: StrayAnswerListener = StrayAnswerListener {}) :
    ChannelInboundHandlerAdapter() {
    private val openedAt = TimeSource.Monotonic.markNow()
    private var exchanges = 0

    /** Exchange that was started last on this connection; null before the first. */
    @Volatile
    var current: NettyExchange? = null
        private set

    /** True if no exchange waits for bytes. */
    val isIdle: Boolean get() = current?.isOpen != true

    /** Routes what [channel] receives from now on to [exchange]; returns what it has carried before. */
    fun begin(exchange: NettyExchange, channel: Channel): ConnectionUse {
        val previous = current
        current = exchange
        exchanges++
        return ConnectionUse(channel.id().asShortText(), exchanges, openedAt.elapsedNow(), previous?.requestId)
    }

    /** Reports bytes that [channel] has received and that are no answer to its current exchange. */
    fun reportStray(channel: Channel, kind: StrayKind, detail: String) {
        val address = (channel.remoteAddress() as? InetSocketAddress)?.let { "${it.hostString}:${it.port}" }.orEmpty()
        val waiting = current?.requestId.takeUnless { isIdle }
        strays.received(StrayAnswer(address, kind, current?.connection, waiting, detail))
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            val exchange = current
            val wasIdle = isIdle
            val belongs = message is HttpObject && exchange?.received(message) == true
            if (!belongs) {
                if (!wasIdle) reportStray(context.channel(), StrayKind.MALFORMED, exchange?.failure.orEmpty())
                context.channel().reset()
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        current?.fail("the connection was closed")
        super.channelInactive(context)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        current?.fail(cause.summary())
        context.channel().reset()
    }
}
