package dev.vanillarun.adapters.platform

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.platform.TargetOrder
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.withContext
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Accepts one connection, reads until [isComplete] holds or the peer closes, then sends [reply] if it is not null. */
private class OneShotServer(
    private val reply: String?,
    private val isComplete: (String) -> Boolean = { it.contains("\r\n\r\n") },
) : AutoCloseable {
    private val socket = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    val received = CompletableDeferred<String>()
    val base = "http://127.0.0.1:${socket.localPort}"

    init {
        thread(isDaemon = true) { socket.accept().use(::serve) }
    }

    private fun serve(peer: Socket) {
        val text = StringBuilder()
        val buffer = ByteArray(4096)
        while (!isComplete(text.toString())) {
            val count = peer.getInputStream().read(buffer)
            if (count < 0) break
            text.append(buffer.decodeToString(0, count))
        }
        reply?.let { peer.getOutputStream().write(it.encodeToByteArray()) }
        received.complete(text.toString())
    }

    override fun close() = socket.close()
}

private fun http(status: String, body: String, headers: String = ""): String =
    "HTTP/1.1 $status\r\nContent-Length: ${body.length}\r\n${headers}Connection: close\r\n\r\n$body"

class HttpPlatformLogTest :
    DescribeSpec({
        val client = platformHttpClient()
        afterSpec { client.close() }
        val record = listOf(NewRecord(StreamName.Config, "x"))

        suspend fun appendTo(reply: String?): AppendResult = OneShotServer(reply) { it.endsWith("]}") }.use {
            HttpPlatformLog(client, it.base).append(record)
        }

        describe("an append") {
            it("succeeds on 200") {
                appendTo(http("200 OK", """{"first":17}""")) shouldBe AppendResult.Appended(Offset(17))
            }
            it("is refused on 429 with the delay of Retry-After") {
                appendTo(http("429 Busy", "", "Retry-After: 3\r\n")) shouldBe
                    AppendResult.Refused("status 429", 3.seconds)
            }
            it("is refused when the connection cannot be established") {
                val free = ServerSocket(0).use { it.localPort }
                HttpPlatformLog(client, "http://127.0.0.1:$free").append(record)
                    .shouldBeInstanceOf<AppendResult.Refused>()
            }
            it("is in doubt on 504, a closed connection, a truncated response and an unexpected body") {
                appendTo(http("504 Gateway Timeout", "")).shouldBeInstanceOf<AppendResult.InDoubt>()
                appendTo(null).shouldBeInstanceOf<AppendResult.InDoubt>()
                appendTo("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n{\"first\"")
                    .shouldBeInstanceOf<AppendResult.InDoubt>()
                appendTo(http("200 OK", "no")).shouldBeInstanceOf<AppendResult.InDoubt>()
            }
            it("is in doubt after a timeout") {
                OneShotServer(null) { false }.use {
                    HttpPlatformLog(client, it.base, timeout = 50.milliseconds).append(record)
                        .shouldBeInstanceOf<AppendResult.InDoubt>()
                }
            }
        }

        describe("a read") {
            it("returns a page and requests every stream") {
                val body = """{"records":[{"offset":3,"stream":"config","payload":"p"}],
                    "next":4,"first_retained":0,"end":9}"""
                OneShotServer(http("200 OK", body)).use { server ->
                    HttpPlatformLog(client, server.base)
                        .read(setOf(StreamName.Config, StreamName.Duty), Offset(3)) shouldBe ReadResult.Page(
                        records = listOf(StoredRecord(Offset(3), StreamName.Config, "p")),
                        next = Offset(4),
                        firstRetained = Offset(0),
                        end = Offset(9),
                    )
                    server.received.await() shouldContain "stream=config&stream=duty&from=3"
                }
            }
            it("returns the first retained offset after 410") {
                OneShotServer(http("410 Gone", """{"first_retained":5}""")).use {
                    HttpPlatformLog(client, it.base).read(setOf(StreamName.Config), Offset.Start) shouldBe
                        ReadResult.Truncated(Offset(5))
                }
            }
        }

        describe("an order") {
            val order = TargetOrder("o", DataCentre("torino"), RouteName("r"), 4, Offset(12), InstanceId("a"))

            it("is sent with its body when the guard permits") {
                OneShotServer(http("200 OK", "{}")) { it.endsWith("\"a\"}") }.use { server ->
                    HttpPlatform(client, server.base).order(order, SendGuard.Always, 5.seconds) shouldBe
                        PlatformResult.Answered(Unit)
                    server.received.await() shouldContain """"desired":4,"term":12,"issuer":"a""""
                }
            }
            it("sends no byte of its body when the guard refuses, and closes the connection") {
                OneShotServer(null) { false }.use { server ->
                    val result = withContext(Dispatchers.IO) {
                        async { HttpPlatform(client, server.base).order(order, { false }, 5.seconds) }.await()
                    }
                    result shouldBe PlatformResult.Withheld
                    server.received.await().substringAfter("\r\n\r\n") shouldBe ""
                }
            }
        }
    })
