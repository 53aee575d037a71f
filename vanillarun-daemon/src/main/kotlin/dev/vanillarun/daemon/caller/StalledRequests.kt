package dev.vanillarun.daemon.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.timeout.IdleStateEvent
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Ends connections on which a request has begun and does not come to its end: after [limit] for a head, and for a body
 * after [limit] to twice of it without a byte. The answers to the requests ahead are not cut.
 *
 * Stands before the decoder of the connection, [requests] after it.
 */
internal class StalledRequests(private val requests: WholeRequests, private val limit: Duration = STALL_LIMIT) :
    ChannelInboundHandlerAdapter() {
    private var reads = 0L

    /** Number of the head before the one that has begun; null while none has. */
    private var partialHead: Int? = null
    private var pending: ScheduledFuture<*>? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        reads++
        val before = requests.heads
        val wasInBody = requests.inBody
        super.channelRead(context, message)
        val began = !wasInBody && requests.heads == before
        partialHead = if (began) before else null
        if (pending == null && (began || requests.inBody)) schedule(context)
    }

    private fun schedule(context: ChannelHandlerContext) {
        val head = partialHead
        val readsBefore = reads
        val check = { check(context, head, readsBefore) }
        pending = context.executor().schedule(check, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun check(context: ChannelHandlerContext, head: Int?, readsBefore: Long) {
        pending = null
        val partial = partialHead
        when {
            partial != null && partial == head -> {
                requests.stallHead(context)
                // Closes the connection once no request on it is without its answer.
                context.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT)
            }

            requests.inBody && reads == readsBefore -> requests.stall(context.pipeline().context(requests))
        }
        if (context.channel().isActive && (partialHead != null || requests.inBody)) schedule(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pending?.cancel(false)
        super.channelInactive(context)
    }
}

/** More than callers take for a head or leave an idle connection, so that only those that are gone are met. */
internal val STALL_LIMIT: Duration = 15.seconds
