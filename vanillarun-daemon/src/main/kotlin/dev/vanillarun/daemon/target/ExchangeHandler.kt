package dev.vanillarun.daemon.target

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/** Passes messages to the current exchange; a message that belongs to no exchange resets the connection. */
internal class ExchangeHandler(private val strays: StrayAnswerListener = StrayAnswerListener {}) :
    ChannelInboundHandlerAdapter() {
    private val openedAt = TimeSource.Monotonic.markNow()
    private val carriedIds = ConcurrentHashMap.newKeySet<String>()
    private var exchanges = 0

    /** Exchange that was started last on this connection; null before the first. */
    @Volatile
    var current: NettyExchange? = null
        private set

    /** True if no exchange waits for bytes. */
    val isIdle: Boolean get() = current?.isOpen != true

    /** True if the connection has carried too many ids to remember more, and must not be used again. */
    val isSpent: Boolean get() = carriedIds.size >= MAX_REMEMBERED_IDS

    /**
     * True unless the connection has carried a request with [id]. A late copy of an answer names the same request as
     * the answer itself; the connection is all that tells it from the answer to a repetition.
     */
    fun mayCarry(id: String?): Boolean = id == null || id !in carriedIds

    /** Routes what [channel] receives from now on to [exchange]; returns what it has carried before. */
    fun begin(exchange: NettyExchange, channel: Channel): ConnectionUse {
        val previous = current
        current = exchange
        exchange.requestId?.let { carriedIds += it }
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
                val kind = if (wasIdle) StrayKind.EXCESS else StrayKind.MALFORMED
                reportStray(context.channel(), kind, exchange?.failure?.reason.orEmpty())
                context.channel().reset()
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        current?.fail("the connection was closed", BreakCause.CONNECTION_ENDED)
        super.channelInactive(context)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        current?.fail(cause.summary(), cause.breakCause())
        context.channel().reset()
    }

    private companion object {
        const val MAX_REMEMBERED_IDS = 256
    }
}

/** Handler of the exchanges on this channel; null if the channel is closed, which removes its handlers. */
internal fun Channel.exchanges(): ExchangeHandler? = pipeline().get(ExchangeHandler::class.java)
