package dev.vanillarun.daemon.target

import io.ktor.http.Headers
import io.ktor.http.HeadersBuilder
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.channels.Channel as Queue

/** Outcome of waiting for the head of an answer. */
internal sealed interface HeadReadResult {
    /** It came. */
    class Began(val status: Int, val headers: Headers) : HeadReadResult

    /** The connection broke before. */
    class Broken(val reason: String) : HeadReadResult
}

/** One request and its answer on a connection. */
internal class NettyExchange(private val channel: Channel) : ResponseBody {
    private val head = CompletableDeferred<HeadReadResult>()
    private val parts = Queue<ByteArray>(Queue.UNLIMITED)
    private val waiting = AtomicInteger()
    private var written: ChannelFuture? = null
    private var interim = false

    @Volatile
    private var whole = false

    @Volatile
    private var taken = false

    @Volatile
    private var keepAlive = false

    /** Time after which the other side closes the idle connection, if it says so. */
    @Volatile
    var idleTimeout: Duration? = null
        private set

    /** True if the whole answer was read, the whole request written, and both sides keep the connection. */
    val isReusable: Boolean get() = whole && taken && keepAlive && written?.isSuccess == true && channel.isActive

    /** Sends [request]. */
    fun begin(request: FullHttpRequest) {
        channel.pipeline().get(ExchangeHandler::class.java).current = this
        channel.config().isAutoRead = true
        written = channel.writeAndFlush(request).addListener { sent -> sent.cause()?.let { broke(it.summary()) } }
        if (!channel.isActive) broke("the connection is closed")
    }

    /** Waits for the head of the answer. */
    suspend fun head(): HeadReadResult = head.await()

    override suspend fun next(): BodyPart {
        val received = parts.receiveCatching()
        val bytes = received.getOrNull()
        if (bytes == null) {
            taken = true
            return BodyPart.End(clean = received.exceptionOrNull() == null)
        }
        if (waiting.decrementAndGet() < FEW_PARTS) channel.config().isAutoRead = true
        return BodyPart.Bytes(bytes)
    }

    /** Takes in what the connection received; false if it belongs to no exchange. */
    fun received(message: HttpObject): Boolean {
        if (whole) return false
        if (message.decoderResult().isFailure) broke("not HTTP: ${message.decoderResult().cause().summary()}")
        if (message is HttpResponse) began(message)
        if (message is HttpContent && !interim) content(message)
        if (message is LastHttpContent) {
            if (!interim) ended()
            interim = false
        }
        return true
    }

    private fun began(response: HttpResponse) {
        interim = response.status().code() < FIRST_FINAL
        if (interim) return
        keepAlive = HttpUtil.isKeepAlive(response)
        val headers = HeadersBuilder()
        response.headers().forEach { headers.append(it.key, it.value) }
        idleTimeout = response.headers().get("Keep-Alive")?.let { TimeoutParameter.find(it) }
            ?.groupValues?.get(1)?.toIntOrNull()?.seconds
        head.complete(HeadReadResult.Began(response.status().code(), headers.build()))
    }

    private fun content(message: HttpContent) {
        val buffer = message.content()
        if (!buffer.isReadable) return
        val bytes = ByteArray(buffer.readableBytes())
        buffer.readBytes(bytes)
        parts.trySend(bytes)
        if (waiting.incrementAndGet() > MANY_PARTS) channel.config().isAutoRead = false
    }

    private fun ended() {
        whole = true
        parts.close()
    }

    /** The connection is of no further use. */
    fun broke(reason: String) {
        head.complete(HeadReadResult.Broken(reason))
        parts.close(IOException(reason))
    }

    private companion object {
        const val FIRST_FINAL = 200
        val TimeoutParameter = Regex("timeout=(\\d+)")

        /** Parts that may wait before the connection is read no further, and at which it is read again. */
        const val MANY_PARTS = 64
        const val FEW_PARTS = 16
    }
}

private fun Throwable.summary(): String = "${this::class.simpleName}: ${message.orEmpty()}"

/** Hands what a connection receives to the exchange on it; bytes that belong to none end the connection. */
internal class ExchangeHandler : ChannelInboundHandlerAdapter() {
    /** Exchange that was begun last. */
    @Volatile
    var current: NettyExchange? = null

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            val belongs = message is HttpObject && current?.received(message) == true
            if (!belongs) context.channel().reset()
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        current?.broke("the connection was closed")
        super.channelInactive(context)
    }

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        current?.broke(cause.summary())
        context.channel().reset()
    }
}
