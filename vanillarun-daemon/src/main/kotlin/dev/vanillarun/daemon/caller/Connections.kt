package dev.vanillarun.daemon.caller

import dev.vanillarun.core.request.RequestFault
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import io.ktor.server.application.ApplicationCall
import io.ktor.server.netty.NettyApplicationCall
import io.netty.channel.Channel
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.channel.ChannelPromise
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.timeout.IdleStateEvent
import io.netty.handler.timeout.IdleStateHandler
import io.netty.util.AttributeKey
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.coroutines.resume
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A request that was read and whose response has not completely left this process. */
public data class UnansweredRequest(
    /** Value of the request id header; null if the request has none. */
    public val id: String?,
    /** Time since the head of the request was read. */
    public val age: Duration,
    /** Bytes of the response that wait to be written to the socket. */
    public val unflushedBytes: Long,
)

/**
 * Tracks the connections of callers: limits their number, closes idle ones, and supports a graceful drain.
 * [idHeader] is the name of the request header with the id by which [unanswered] reports requests.
 */
public class Connections(
    private val maxConnections: Int,
    private val idleSeconds: Long = 120,
    private val idHeader: String? = null,
    /** Receives an event for each message that is no sound request; null records none. */
    private val events: EventRecorder? = null,
) {
    private val open = ConcurrentHashMap.newKeySet<Tracker>()
    internal val listeners: MutableSet<Channel> = ConcurrentHashMap.newKeySet()
    private val arrivalCount = AtomicLong()
    private val faults = ConcurrentHashMap<String, Long>()

    /** True if each response is the last of its connection: it says so, and the connection is closed after it. */
    @Volatile
    public var closeAfterResponse: Boolean = false

    /** Number of open connections. */
    public val count: Int get() = open.size

    /** Number of connections with a request in flight. */
    public val busy: Int get() = open.count { it.requests > 0 }

    /** Total number of requests received since the start. */
    public val arrivals: Long get() = arrivalCount.get()

    /** Number of requests so far that were not one whole sound message, by [RequestFault.label]. */
    public val faultCounts: Map<String, Long> get() = faults.toMap()

    /** Number of new connections whose first request may still be in transit. */
    public val unused: Int get() = open.count { it.awaitsFirstRequest }

    /** Requests whose response has not completely left this process; the newest of each connection, at most [limit]. */
    public fun unanswered(limit: Int): List<UnansweredRequest> =
        open.asSequence().mapNotNull { it.unanswered() }.take(limit).toList()

    /** Adds the idle timeout, tracking, and the checks of requests to the pipeline of a new connection. */
    public fun track(pipeline: ChannelPipeline) {
        pipeline.addFirst(IdleStateHandler(0, 0, idleSeconds, TimeUnit.SECONDS))
        val requests = WholeRequests(::faultSeen)
        pipeline.addAfter(CODEC, "connections", Tracker())
        pipeline.addAfter(CODEC, "whole-requests", requests)
        pipeline.addBefore(CODEC, "stalled-requests", StalledRequests(requests))
    }

    private fun faultSeen(fault: RequestFault) {
        faults.merge(fault.label, 1, Long::plus)
        events?.record("request.malformed", EventLinks(), mapOf("kind" to fault.label, "fault" to fault.message))
    }

    /** Handler that registers a listening channel, so that [stopAccepting] can close it. */
    public fun listener(): ChannelInboundHandlerAdapter = object : ChannelInboundHandlerAdapter() {
        override fun handlerAdded(context: ChannelHandlerContext) {
            listeners += context.channel()
        }
    }

    /**
     * Returns once all connections and requests that had reached this process before the call have been read, also when
     * the event loops are overloaded.
     */
    public suspend fun settle() {
        val loops = (listeners + open.mapNotNull { it.channel }).mapTo(HashSet()) { it.eventLoop() }
        loops.forEach { it.awaitIteration() }
    }

    /** Closes the listening channels; returns once they are closed. Open connections stay. */
    public fun stopAccepting() {
        listeners.forEach { it.close().syncUninterruptibly() }
    }

    /**
     * Closes the connections without a request in flight, after reading what they have received. New connections whose
     * first request may still be in transit stay open if [spareUnused] is true.
     */
    public fun closeIdle(spareUnused: Boolean = false) {
        open.forEach { it.closeIfIdle(spareUnused) }
    }

    private inner class Tracker : ChannelDuplexHandler() {
        @Volatile
        var requests = 0
            private set

        @Volatile
        var channel: Channel? = null
            private set

        @Volatile
        private var used = false
        private var closing = false

        /** Number of requests whose response has not begun; those before it may still wait to be flushed. */
        private var responsesDue = 0

        @Volatile
        private var newest: ReadRequest? = null
        private val openedAt = TimeSource.Monotonic.markNow()

        val awaitsFirstRequest: Boolean get() = !used && openedAt.elapsedNow() < FIRST_REQUEST_TIMEOUT

        override fun handlerAdded(context: ChannelHandlerContext) {
            channel = context.channel()
            open += this
            context.channel().closeFuture().addListener { open -= this }
            if (open.size > maxConnections) context.close()
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) requestStarted(message)
            super.channelRead(context, message)
        }

        fun unanswered(): UnansweredRequest? = newest?.takeIf { requests > 0 }?.let { request ->
            val unflushed = channel?.unsafe()?.outboundBuffer()?.totalPendingWriteBytes() ?: 0
            UnansweredRequest(request.id, request.at.elapsedNow(), unflushed)
        }

        private fun requestStarted(request: HttpRequest) {
            newest = ReadRequest(idHeader?.let { request.headers()[it] }, TimeSource.Monotonic.markNow())
            requests++
            responsesDue++
            used = true
            arrivalCount.incrementAndGet()
        }

        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            val interim = message is HttpResponse && message.status().code() < FIRST_FINAL_STATUS
            if (message is HttpResponse && !interim) announceClose(context, message)
            if (message is LastHttpContent && !interim) promise.addListener { responseSent(context) }
            if (message is LastHttpContent && context.channel().hasAttr(BROKEN_OFF)) {
                context.flush()
                context.close(promise)
                return
            }
            super.write(context, message, promise)
        }

        /** A pipelined request is answered before the connection is closed. */
        private fun announceClose(context: ChannelHandlerContext, response: HttpResponse) {
            responsesDue--
            closing = (closeAfterResponse || context.channel().hasAttr(LAST_REQUEST)) && responsesDue == 0
            if (closing) response.headers()[HttpHeaderNames.CONNECTION] = HttpHeaderValues.CLOSE
        }

        private fun responseSent(context: ChannelHandlerContext) {
            requests--
            if (closing && requests == 0) context.close()
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is IdleStateEvent && requests == 0) context.close() else super.userEventTriggered(context, event)
        }

        /** Runs in a later iteration of the event loop, which reads before it runs tasks. */
        fun closeIfIdle(spareUnused: Boolean) {
            val target = channel ?: return
            val closeIfIdle = { if (requests == 0 && !(spareUnused && awaitsFirstRequest)) target.close() }
            target.eventLoop().schedule(closeIfIdle, 1, TimeUnit.MILLISECONDS)
        }
    }

    private class ReadRequest(val id: String?, val at: TimeSource.Monotonic.ValueTimeMark)

    private companion object {
        /** Name of the HTTP codec in the pipeline, as set by Ktor's Netty engine. */
        const val CODEC = "codec"
        const val FIRST_FINAL_STATUS = 200

        /** Time that a drain leaves a new connection to send its first request. */
        val FIRST_REQUEST_TIMEOUT = 2.seconds
    }
}

/**
 * Waits until the event loop has read all channels once. A scheduled task runs in a later iteration than the current
 * one, and each iteration reads before it runs tasks.
 */
private suspend fun EventLoop.awaitIteration() = suspendCancellableCoroutine { continuation ->
    schedule({ continuation.resume(Unit) }, 1, TimeUnit.MILLISECONDS)
}

private val BROKEN_OFF: AttributeKey<Boolean> = AttributeKey.valueOf("vanillarun.brokenOff")

/** Closes the connection at the end of the response instead of completing it, so that the caller sees it truncated. */
internal fun ApplicationCall.breakOff() {
    val engineCall = this as? NettyApplicationCall ?: error("callers are served by Netty")
    engineCall.context.channel().attr(BROKEN_OFF).set(true)
}
