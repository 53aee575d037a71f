package dev.vanillarun.daemon.target

import io.ktor.http.HttpHeaders
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelException
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.ssl.SslHandler
import io.netty.util.concurrent.Future
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.URI
import java.util.concurrent.TimeUnit
import javax.net.ssl.SSLContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * [TargetClient] over Netty that pools idle connections and resets the connection of an abandoned exchange.
 *
 * After an ordinary close the kernel still delivers bytes that the network delayed, for instance during a partition,
 * and the target would run the request seconds after it was abandoned. A reset discards these bytes. Neither the JDK's
 * client nor Ktor's can reset a connection.
 */
public class NettyTargetClient(
    private val connectTimeout: Duration = 1.seconds,
    threads: Int = 1,
    private val tls: () -> SSLContext = SSLContext::getDefault,
    /** Names, in lower case, of fields of the targets' protocol that may stand once in a response. */
    private val singleFields: Set<String> = emptySet(),
    /** Time for another answer after one that may be a copy of an earlier one to the same request. */
    private val copyWait: Duration = COPY_WAIT,
) : TargetClient {
    private val group = NioEventLoopGroup(threads)
    private val pool = ConnectionPool()
    private val failures = EarlierFailures()

    @Volatile
    private var strays = StrayAnswerListener {}
    private val bootstrap = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .handler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    val exchanges = ExchangeHandler { strays.received(it) }
                    channel.pipeline().addLast(HttpRequestEncoder(), ResponseDecoder(exchanges, Limits), exchanges)
                }
            },
        )

    override suspend fun <T> exchange(
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> {
        val message = try {
            message(request)
        } catch (e: IllegalArgumentException) {
            return ExchangeResult.NotSent("the request cannot be sent: ${e.message}", unreachable = false)
        }
        val uri = URI(request.url)
        val address = if (uri.isTls) "https://${uri.authority}" else "${uri.host}:${uri.port}"
        val generation = pool.generation
        val pooled = if (request.freshConnection) null else pool.take(address, request.id)
        val channel = pooled ?: when (val connected = connect(uri)) {
            is ConnectResult.Open -> connected.channel
            is ConnectResult.Failed -> return ExchangeResult.NotSent(connected.reason)
        }
        val exchange = NettyExchange(channel, singleFields, failures.of(address, request.id), copyWait)
        var reusable = false
        try {
            val result = send(exchange, request, message, handle)
            reusable = result is ExchangeResult.Answered && exchange.isReusable && !request.freshConnection
            return result
        } finally {
            exchange.identity?.let { failures.add(address, request.id, it) }
            if (reusable) pool.put(address, channel, exchange.idleTimeout, generation) else channel.reset()
        }
    }

    private suspend fun <T> send(
        exchange: NettyExchange,
        request: TargetRequest,
        message: FullHttpRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> {
        if (!request.sendGuard.permits()) return ExchangeResult.NotSent("withheld by its guard", unreachable = false)
        if (!exchange.send(message, request.id)) {
            return ExchangeResult.NotSent("the connection is closed", unreachable = false)
        }
        return when (val head = exchange.head()) {
            is HeadReadResult.Received ->
                ExchangeResult.Answered(
                    handle(TargetResponse(head.status, head.headers, exchange, exchange.connection)),
                )

            is HeadReadResult.Broken -> ExchangeResult.Broken(head.reason, exchange.connection, head.cause)
        }
    }

    /** Stops the reuse of all connections open now. Exchanges in flight continue. */
    public fun dropConnections(): Unit = pool.dropAll()

    override fun isWarm(address: String): Boolean = pool.has(address)

    override fun onStrayAnswer(listener: StrayAnswerListener) {
        strays = listener
    }

    private sealed interface ConnectResult {
        class Open(val channel: Channel) : ConnectResult

        class Failed(val reason: String) : ConnectResult
    }

    private suspend fun connect(uri: URI): ConnectResult = suspendCancellableCoroutine { continuation ->
        val connecting = bootstrap.connect(uri.host, uri.port)
        val channel = connecting.channel()

        fun finish(cause: Throwable?) {
            if (cause != null) channel.reset()
            val outcome = if (cause == null) ConnectResult.Open(channel) else ConnectResult.Failed(cause.summary())
            // The waiting coroutine may be cancelled between this call and its own resumption.
            continuation.resume(outcome) { _, _, _ -> channel.reset() }
        }
        connecting.addListener {
            if (connecting.isSuccess && uri.isTls) {
                val handshake = channel.startTls(uri)
                handshake.addListener { finish(handshake.cause()) }
            } else {
                finish(connecting.cause())
            }
        }
        continuation.invokeOnCancellation { channel.reset() }
    }

    /** Encrypts the connection; the certificate of the target has to name its address. */
    private fun Channel.startTls(uri: URI): Future<Channel> {
        val engine = tls().createSSLEngine(uri.host.removeSurrounding("[", "]"), uri.port)
        engine.useClientMode = true
        engine.sslParameters = engine.sslParameters.apply { endpointIdentificationAlgorithm = "HTTPS" }
        val handler = SslHandler(engine)
        handler.handshakeTimeoutMillis = connectTimeout.inWholeMilliseconds
        pipeline().addFirst(handler)
        return handler.handshakeFuture()
    }

    /** Builds the message; throws [IllegalArgumentException] if address, method or headers of [request] are invalid. */
    private fun message(request: TargetRequest): FullHttpRequest {
        val uri = URI.create(request.url)
        require(uri.host != null && uri.port in ValidPorts) { "no address of a target: ${uri.authority}" }
        val path = request.url.substringAfter("://").let { it.substring(it.indexOf('/').coerceAtLeast(0)) }
        val message = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(request.method),
            path,
            Unpooled.wrappedBuffer(request.body),
        )
        request.headers.forEach { name, values -> message.headers().add(name, values) }
        request.contentType?.let { message.headers().set(HttpHeaders.ContentType, it.toString()) }
        if (HttpHeaderNames.HOST !in message.headers()) message.headers().set(HttpHeaderNames.HOST, uri.authority)
        if (request.body.isNotEmpty() || request.method != "GET") {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return message
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** More than plain targets take for an answer, less than the deadline of any request that is repeated. */
        val COPY_WAIT = 300.milliseconds
        val ValidPorts = 1..65_535
        val Limits: HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(8 * 1024)
            .setMaxHeaderSize(64 * 1024)
            .setMaxChunkSize(64 * 1024)
    }
}

private val URI.isTls: Boolean get() = scheme == "https"

/** Closes the connection with a TCP reset, which discards data that was not yet delivered. Any thread may call it. */
internal fun Channel.reset() {
    try {
        if (isOpen) config().setOption(ChannelOption.SO_LINGER, 0)
    } catch (_: ChannelException) {
        // The event loop has closed the connection meanwhile.
    }
    close()
}
