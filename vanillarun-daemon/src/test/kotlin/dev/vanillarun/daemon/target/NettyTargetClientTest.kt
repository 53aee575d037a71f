package dev.vanillarun.daemon.target

import dev.vanillarun.daemon.fake.send
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** A server that keeps connections open and responds to each request with bytes that the test chooses. */
internal class KeepAliveServer(
    private val respond: Socket.(request: String) -> Unit,
    private val server: ServerSocket = ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    val connections = AtomicInteger()
    val endCause = CompletableDeferred<Throwable?>()
    val url = "http://127.0.0.1:${server.localPort}"

    init {
        scope.launch {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                launch { socket.use(::serve) }
            }
        }
    }

    private fun serve(socket: Socket) {
        val buffer = ByteArray(8192)
        try {
            while (true) {
                val count = socket.getInputStream().read(buffer)
                if (count < 0) break
                socket.respond(String(buffer, 0, count))
            }
            endCause.complete(null)
        } catch (e: IOException) {
            endCause.complete(e)
        }
    }

    override fun close() {
        server.close()
        scope.cancel()
    }
}

/** Enough for a reset to meet each step of an exchange. */
private const val RESETS = 1000

private const val OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

internal suspend fun NettyTargetClient.get(
    url: String,
    freshConnection: Boolean = false,
): ExchangeResult<Pair<String, Boolean>> =
    exchange(TargetRequest("GET", "$url/x?y=1", Headers.Empty, freshConnection = freshConnection)) { answer ->
        val text = StringBuilder()
        while (true) {
            when (val part = answer.body.next()) {
                is BodyPart.Bytes -> text.append(part.bytes.decodeToString())
                is BodyPart.End -> return@exchange text.toString() to part.clean
            }
        }
        @Suppress("UNREACHABLE_CODE")
        error("the body ends")
    }

class NettyTargetClientTest :
    DescribeSpec({
        suspend fun with(respond: Socket.(String) -> Unit, test: suspend (NettyTargetClient, KeepAliveServer) -> Unit) =
            NettyTargetClient().use { client -> KeepAliveServer(respond).use { server -> test(client, server) } }

        describe("a connection") {
            it("carries several exchanges in turn") {
                with({ send(OK) }) { client, server ->
                    repeat(3) { client.get(server.url) shouldBe ExchangeResult.Answered("ok" to true) }
                    server.connections.get() shouldBe 1
                }
            }
            // Guards against requests to a target that departed while the connection was being opened.
            it("carries nothing if the guard of the request denies it once the connection is open") {
                val requests = AtomicInteger()
                val respond: Socket.(String) -> Unit = { requests.incrementAndGet() }
                with(respond) { client, server ->
                    val request = TargetRequest("GET", "${server.url}/", Headers.Empty, sendGuard = { false })
                    client.exchange(request) {}.shouldBeInstanceOf<ExchangeResult.NotSent>()
                    server.endCause.await()
                    server.connections.get() shouldBe 1
                    requests.get() shouldBe 0
                }
            }
            it("is not reused after a response with Connection: close") {
                with({ send(OK.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")) }) { client, server ->
                    repeat(2) { client.get(server.url) shouldBe ExchangeResult.Answered("ok" to true) }
                    server.connections.get() shouldBe 2
                }
            }
            it("is not reused when its idle timeout would expire before a request can arrive") {
                with({ send(OK.replace("\r\n\r\n", "\r\nKeep-Alive: timeout=0\r\n\r\n")) }) { client, server ->
                    repeat(2) { client.get(server.url) }
                    server.connections.get() shouldBe 2
                }
            }
            it("is reset, not closed, when its exchange is given up, so that nothing on the way arrives later") {
                val requestReceived = CompletableDeferred<Unit>()
                with({ requestReceived.complete(Unit) }) { client, server ->
                    val call = launch { client.get(server.url) }
                    requestReceived.await()
                    call.cancelAndJoin()
                    server.endCause.await().shouldBeInstanceOf<SocketException>().message.orEmpty() shouldContain
                        "reset"
                }
            }
            // An exchange threw a NullPointerException if its connection was closed just before the send.
            it("that is closed before a request is sent gets no request") {
                val channel = EmbeddedChannel(ExchangeHandler())
                channel.close()
                val exchange = NettyExchange(channel)
                exchange.send(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")) shouldBe false
            }
            it("that carries more than its answer while it is idle is closed, and not used again") {
                with({ send(OK + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray") }) { client, server ->
                    client.get(server.url) shouldBe ExchangeResult.Answered("ok" to true)
                    server.endCause.await()
                    client.get(server.url) shouldBe ExchangeResult.Answered("ok" to true)
                    server.connections.get() shouldBe 2
                }
            }
            it("whose answer was not read to its end, because it belongs to another request, is not used again") {
                with({ send(OK) }) { client, server ->
                    repeat(3) { client.exchange(TargetRequest("GET", "${server.url}/", Headers.Empty)) { it.status } }
                    server.connections.get() shouldBe 3
                }
            }
        }

        describe("connections that are dropped") {
            // Calls were sent on connections that had gone silent.
            it("are not used again, neither idle ones nor that of an exchange in flight, which goes on") {
                with({ send(OK) }) { client, server ->
                    client.get(server.url)
                    client.dropConnections()
                    client.exchange(TargetRequest("GET", "${server.url}/", Headers.Empty)) {
                        server.connections.get() shouldBe 2
                        client.dropConnections()
                        it.body.next().shouldBeInstanceOf<BodyPart.Bytes>()
                        it.body.next() shouldBe BodyPart.End(clean = true)
                    }.shouldBeInstanceOf<ExchangeResult.Answered<*>>()
                    repeat(2) { client.get(server.url) }
                    server.connections.get() shouldBe 3
                }
            }
        }

        // Calls that may run once were lost on connections that had gone silent.
        it("gives a request that cannot be repeated a connection of its own, which is not kept") {
            with({ send(OK) }) { client, server ->
                repeat(2) { client.get(server.url, freshConnection = true) }
                client.isWarm(server.url.removePrefix("http://")) shouldBe false
                client.get(server.url)
                client.get(server.url, freshConnection = true)
                server.connections.get() shouldBe 4
            }
        }

        describe("an answer") {
            it("without a length is complete when its connection is closed normally") {
                with({
                    send("HTTP/1.1 200 OK\r\n\r\nrest")
                    close()
                }) { client, server -> client.get(server.url) shouldBe ExchangeResult.Answered("rest" to true) }
            }
            it("without a length is not whole when its connection is reset") {
                with({
                    send("HTTP/1.1 200 OK\r\n\r\nre")
                    setSoLinger(true, 0)
                    close()
                }) { client, server ->
                    val exchange = client.get(server.url)
                    if (exchange is ExchangeResult.Answered) exchange.value.second shouldBe false
                }
            }
            it("that ends before its length, or before its last chunk, is not whole") {
                listOf(
                    "Content-Length: 9\r\n\r\nabc",
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                ).forEach { cut ->
                    with({
                        send("HTTP/1.1 200 OK\r\n$cut")
                        close()
                    }) { client, server -> client.get(server.url) shouldBe ExchangeResult.Answered("abc" to false) }
                }
            }
            // An exchange failed with an exception if the connection was closed just before it was reset.
            it("cut by a reset of its connection breaks the exchange and throws nothing") {
                with({
                    setSoLinger(true, 0)
                    close()
                }) { client, server ->
                    repeat(RESETS) { client.get(server.url).shouldBeInstanceOf<ExchangeResult.Broken>() }
                }
            }
            it("that is not HTTP, or is missing, breaks the exchange") {
                with({ send("garbage garbage garbage\r\n\r\n") }) { client, server ->
                    val exchange = client.get(server.url)
                    (exchange is ExchangeResult.Broken || exchange == ExchangeResult.Answered("" to false)) shouldBe
                        true
                }
                with({
                    close()
                }) { client, server -> client.get(server.url).shouldBeInstanceOf<ExchangeResult.Broken>() }
            }
            it("is read after an interim response") {
                with({ send("HTTP/1.1 100 Continue\r\n\r\n$OK") }) { client, server ->
                    client.get(server.url) shouldBe ExchangeResult.Answered("ok" to true)
                }
            }
        }

        describe("an unreachable target") {
            it("is reported as not sent") {
                val closed = ServerSocket(0).use { it.localPort }
                NettyTargetClient().use {
                    it.get("http://127.0.0.1:$closed").shouldBeInstanceOf<ExchangeResult.NotSent>()
                }
            }
        }

        it("sends path, query and host as given") {
            val seen = CompletableDeferred<String>()
            with({
                seen.complete(it)
                send(OK)
            }) { client, server ->
                client.get(server.url)
                eventually(5.seconds) { seen.await() shouldContain "GET /x?y=1 HTTP/1.1" }
            }
        }
    })
