package dev.vanillarun.daemon.target

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val OK_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/** Heap that an exchange may take before it gives up; the limits of the codec are far below. */
private const val MAX_HEAP_GROWTH_BYTES = 64L * 1024 * 1024

/** Bytes that the reader takes before it gives up. */
private const val MAX_READ_BYTES = 1024 * 1024

/** Accepts one connection, sends [first] and then [rest] again and again until the client closes. */
private class EndlessTarget(private val first: String, private val rest: String) : AutoCloseable {
    private val socket = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    val address: String = "127.0.0.1:${socket.localPort}"

    /** Completes once the client has closed the connection. */
    val closed = CompletableDeferred<Unit>()

    init {
        thread(isDaemon = true) {
            try {
                socket.accept().use { client ->
                    client.getInputStream().read()
                    client.getOutputStream().write(first.encodeToByteArray())
                    val endless = rest.encodeToByteArray()
                    while (true) client.getOutputStream().write(endless)
                }
            } catch (_: IOException) {
                closed.complete(Unit)
            }
        }
    }

    override fun close() = socket.close()
}

@Suppress("ExplicitGarbageCollectionCall") // Only live memory shows whether bytes are kept.
private fun usedHeap(): Long {
    System.gc()
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

class EndlessAnswersTest :
    DescribeSpec({
        suspend fun NettyTargetClient.get(address: String): ExchangeResult<Int> =
            exchange(TargetRequest("GET", "http://$address/", Headers.Empty)) { response ->
                var received = 0
                var part = response.body.next()
                while (part is BodyPart.Bytes && received <= MAX_READ_BYTES) {
                    received += part.bytes.size
                    part = response.body.next()
                }
                received
            }

        describe("bytes without end that are no answer") {
            val heads = mapOf(
                "a status line" to EndlessTarget("HTTP/1.1 200 ", "O".repeat(4096)),
                "a head" to EndlessTarget("HTTP/1.1 200 OK\r\n", "X-More: ${"y".repeat(1000)}\r\n"),
                "garbage" to EndlessTarget("", "\u0001\u0002\u0003".repeat(1000)),
            )
            heads.forEach { (name, target) ->
                it("in $name end the exchange and the connection") {
                    target.use {
                        NettyTargetClient().use { client ->
                            withTimeout(10.seconds) {
                                client.get(target.address).shouldBeInstanceOf<ExchangeResult.Broken>()
                                target.closed.await()
                            }
                        }
                    }
                }
            }
            val bodies = mapOf(
                "a chunk's size" to EndlessTarget(OK_HEAD, "0".repeat(4096)),
                "a chunk's extension" to EndlessTarget(OK_HEAD + "1;", "x".repeat(4096)),
                "trailers" to EndlessTarget(OK_HEAD + "0\r\n", "X-More: ${"y".repeat(1000)}\r\n"),
                "a body" to EndlessTarget("HTTP/1.1 200 OK\r\n\r\n", "z".repeat(8192)),
            )
            bodies.forEach { (name, target) ->
                it("in $name end with what the reader takes, and the connection is closed") {
                    target.use {
                        NettyTargetClient().use { client ->
                            withTimeout(10.seconds) {
                                client.get(target.address).shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                                target.closed.await()
                            }
                        }
                    }
                }
            }
            it("in interim answers end with the caller's patience, and take no memory") {
                EndlessTarget("", "HTTP/1.1 100 Continue\r\n\r\n".repeat(100)).use { target ->
                    NettyTargetClient().use { client ->
                        val before = usedHeap()
                        withTimeoutOrNull(500.milliseconds) { client.get(target.address) } shouldBe null
                        withTimeout(10.seconds) { target.closed.await() }
                        (usedHeap() - before < MAX_HEAP_GROWTH_BYTES) shouldBe true
                    }
                }
            }
            it("in a body that nobody reads are not taken from the connection") {
                EndlessTarget("HTTP/1.1 200 OK\r\n\r\n", "z".repeat(8192)).use { target ->
                    NettyTargetClient().use { client ->
                        val before = usedHeap()
                        var body: ResponseBody? = null
                        val unread = withTimeoutOrNull(500.milliseconds) {
                            client.exchange(TargetRequest("GET", "http://${target.address}/", Headers.Empty)) {
                                body = it.body
                                CompletableDeferred<Unit>().await()
                            }
                        }
                        unread shouldBe null
                        (usedHeap() - before < MAX_HEAP_GROWTH_BYTES) shouldBe true
                        (body as NettyExchange).bufferedBytes shouldBeLessThan MAX_READ_BYTES
                        withTimeout(10.seconds) { target.closed.await() }
                    }
                }
            }
        }
    })
