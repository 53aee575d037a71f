package dev.vanillarun.daemon.target

import dev.vanillarun.daemon.fake.send
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

private const val OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

class StrayAnswerTest :
    DescribeSpec({
        var strays = CopyOnWriteArrayList<StrayAnswer>()

        var connections = { 0 }

        suspend fun with(
            answers: List<String>,
            onRequest: (Socket) -> Unit = {},
            test: suspend (suspend (String) -> ExchangeResult<Int>) -> Unit,
        ) {
            val left = AtomicReference(answers)
            // Each case has a list of its own: the client of the case before may still report what it received.
            val own = CopyOnWriteArrayList<StrayAnswer>()
            strays = own
            NettyTargetClient().use { client ->
                client.onStrayAnswer { own += it }
                val respond: Socket.(String) -> Unit = {
                    onRequest(this)
                    send(left.getAndUpdate { it.drop(1) }.first())
                }
                KeepAliveServer(respond).use { server ->
                    connections = { server.connections.get() }
                    test { id ->
                        client.exchange(TargetRequest("GET", "${server.url}/", Headers.Empty, id = id)) {
                            var part = it.body.next()
                            while (part is BodyPart.Bytes) part = it.body.next()
                            part shouldBe BodyPart.End(clean = true)
                            it.status
                        }
                    }
                }
            }
        }

        // Nothing told how often targets stutter, nor on which connection.
        it("bytes after an answer are reported, and no exchange follows them, also if they are no whole message") {
            with(listOf(OK + "HTTP/1.1 2", OK)) { exchange ->
                exchange("first").shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                eventually(5.seconds) { strays.map { it.kind } shouldBe listOf(StrayKind.EXCESS) }
                strays.single().connection?.exchange shouldBe 1
                exchange("second").shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                connections() shouldBe 2
            }
        }
        it(
            "bytes on an idle connection are reported, and no exchange follows them, also if they are no whole message",
        ) {
            val left = CompletableDeferred<Socket>()
            with(listOf(OK, OK), onRequest = { left.complete(it) }) { exchange ->
                exchange("first").shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                left.await().send("HTTP/1.1 2")
                eventually(5.seconds) { strays.map { it.kind } shouldBe listOf(StrayKind.IDLE) }
                exchange("second").shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                connections() shouldBe 2
            }
        }
        // Items were given up after answers that their targets had not given: the copy of an answer to one attempt was
        // taken for the answer to the next, which bore the same id.
        it("a late copy of an answer is not taken for the answer to a repetition of its request") {
            val copy = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
            val last = AtomicReference<Socket>()
            with(listOf(copy, OK, OK), onRequest = { if (last.getAndSet(it) === it) it.send(copy) }) { exchange ->
                exchange("one") shouldBe ExchangeResult.Answered(500)
                exchange("one") shouldBe ExchangeResult.Answered(200)
                connections() shouldBe 2
                exchange("two")
                connections() shouldBe 2
            }
        }
        // Items were given up: the copy came on the connection of the next attempt, before that attempt's own answer.
        describe("the failure that ended an attempt, sent again to the next attempt of the request") {
            val failure = "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"
            val other = "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nNo"
            suspend fun status(exchange: suspend (String) -> ExchangeResult<Int>) =
                (exchange("one") as? ExchangeResult.Answered)?.value

            it("is not the answer to it if its own answer follows") {
                val last = AtomicInteger()
                with(listOf(failure, failure + OK, OK), onRequest = { last.incrementAndGet() }) { exchange ->
                    status(exchange) shouldBe 500
                    status(exchange) shouldBe 200
                    strays.map { it.kind } shouldBe listOf(StrayKind.REPEATED)
                    last.get() shouldBe 2
                }
            }
            it("is not the answer to it if its own answer follows in a later read") {
                val attempts = AtomicInteger()
                val copy: (Socket) -> Unit = { if (attempts.incrementAndGet() == 2) it.send(failure) }
                with(listOf(failure, OK), onRequest = copy) { exchange ->
                    status(exchange) shouldBe 500
                    status(exchange) shouldBe 200
                }
            }
            it("is the answer to it if nothing follows") {
                with(listOf(failure, failure)) { exchange ->
                    status(exchange) shouldBe 500
                    status(exchange) shouldBe 500
                    strays.shouldBeEmpty()
                }
            }
            // Held answers were dropped at any head: items waited for their deadlines, or failed for junk.
            mapOf(
                "an interim response" to "HTTP/1.1 100 Continue\r\n\r\n",
                "bytes that are no answer" to "no answer\r\n\r\n",
                "a head without its body" to "HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\n",
            ).forEach { (what, bytes) ->
                it("is the answer to it if only $what follows, and no exchange follows that") {
                    with(listOf(failure + "x", failure + bytes, OK)) { exchange ->
                        status(exchange) shouldBe 500
                        withTimeoutOrNull(5.seconds) { status(exchange) } shouldBe 500
                        exchange("two").shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                        connections() shouldBe 3
                    }
                }
            }
            it("is told from another failure, which is the answer whatever follows") {
                with(listOf(failure, other + OK)) { exchange ->
                    status(exchange) shouldBe 500
                    status(exchange) shouldBe 500
                }
            }
        }
        it("an interim response is none, and the final one that follows it is the answer") {
            with(listOf("HTTP/1.1 100 Continue\r\n\r\n$OK", OK)) { exchange ->
                exchange("first").shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                exchange("second").shouldBeInstanceOf<ExchangeResult.Answered<Int>>()
                strays.shouldBeEmpty()
            }
        }
        // Two readers of a response with a length and chunks see two ends.
        it("a response with two ends is no answer, and is reported") {
            val chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"
            with(listOf(chunked)) { exchange ->
                exchange("first").shouldBeInstanceOf<ExchangeResult.Broken>()
                eventually(5.seconds) { strays.map { it.kind } shouldBe listOf(StrayKind.MALFORMED) }
            }
        }
        it("bytes that are no answer are reported with the request that waits and the one before") {
            with(listOf(OK, "no answer\r\n\r\n")) { exchange ->
                exchange("first")
                val broken = exchange("second").shouldBeInstanceOf<ExchangeResult.Broken>()
                broken.connection?.exchange shouldBe 2
                broken.connection?.previousRequest shouldBe "first"
                eventually(5.seconds) { strays shouldHaveSize 1 }
                strays.single().kind shouldBe StrayKind.MALFORMED
                strays.single().request shouldBe "second"
                strays.single().connection shouldBe broken.connection
            }
        }
    })
