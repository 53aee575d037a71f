package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.CallerLimits
import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.Intervals
import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.FakeLog
import dev.vanillarun.daemon.fake.FakeTarget
import dev.vanillarun.daemon.fake.RawTarget
import dev.vanillarun.daemon.fake.TestCaller
import dev.vanillarun.daemon.fake.eventTimeout
import dev.vanillarun.daemon.fake.rawHeader
import dev.vanillarun.daemon.fake.send
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.server.response.respondText
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.CountDownLatch

private const val EVENT = "data: {\"choices\":[{\"text\":\"a \",\"finish_reason\":null}],\"tokens\":1}\n\n"

/** Sends one event, then keeps the stream open until the peer closes it, which completes [closed]. */
private fun endlessStream(closed: CompletableDeferred<Unit>) = RawTarget { request ->
    send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
    send(
        "X-Request-Id: ${request.rawHeader("X-Request-Id")}\r\n\r\n${EVENT.length.toString(16)}\r\n$EVENT\r\n",
    )
    while (runCatching { getInputStream().read() }.getOrDefault(-1) >= 0) Unit
    closed.complete(Unit)
}

private suspend fun TestCaller.stream(onEvent: suspend () -> Unit): String =
    client.preparePost("$base/v1/completions") {
        bearerAuth(ALICE_KEY)
        setBody("""{"model":"assistant","prompt":"p","max_tokens":8,"stream":true}""")
    }.execute { response ->
        val text = StringBuilder()
        val channel = response.bodyAsChannel()
        runCatching {
            while (true) {
                text.append(channel.readLine() ?: break).append('\n')
                onEvent()
            }
        }
        text.toString()
    }

private fun settings(limits: CallerLimits = CallerLimits(), intervals: Intervals = Intervals()) =
    DaemonSettings("i1", "torino", platform = "http://127.0.0.1:1", limits = limits, intervals = intervals)

class CallControlTest :
    DescribeSpec({
        describe("a key that is withdrawn") {
            it("ends a stream that is open and the run at the target") {
                val closed = CompletableDeferred<Unit>()
                val log = FakeLog()
                endlessStream(closed).use { engine ->
                    withDaemon(testConfig(listOf(engine.address), emptyList()), log) {
                        val text = stream {
                            log.publish(testConfig(listOf(engine.address), emptyList(), aliceWithdrawn = true))
                        }
                        text shouldContain "the key was withdrawn"
                        closed.await()
                    }
                }
            }
        }

        describe("a caller that disconnects") {
            it("has its request at the target cancelled") {
                val closed = CompletableDeferred<Unit>()
                endlessStream(closed).use { engine ->
                    withDaemon(testConfig(listOf(engine.address), emptyList())) {
                        coroutineScope {
                            val begun = CompletableDeferred<Unit>()
                            val call = launch { stream { begun.complete(Unit) } }
                            begun.await()
                            call.cancel()
                            closed.await()
                        }
                        eventually(eventTimeout) { adminText("/metrics") shouldContain "requests_in_progress 0.0" }
                    }
                }
            }
        }

        describe("a deadline") {
            it("ends a call with an error that does not claim it did not run") {
                FakeTarget { CompletableDeferred<Unit>().await() }.use { service ->
                    withDaemon(testConfig(emptyList(), listOf(service.address))) {
                        val answer = client.get("$base/loans/1") {
                            bearerAuth(ALICE_KEY)
                            header("X-Deadline-Ms", "50")
                        }
                        answer.status.value shouldBe 504
                        answer.headers["X-Vanillarun-Execution"] shouldBe "unknown"
                    }
                }
            }
        }

        describe("a request that exceeds a limit") {
            it("is refused before it reaches a target") {
                FakeTarget { respondText("ok") }.use { service ->
                    val limits = CallerLimits(maxBodyBytes = 100, maxHeaderBytes = 1000, maxHeaderCount = 20)
                    withDaemon(testConfig(emptyList(), listOf(service.address)), settings = settings(limits)) {
                        suspend fun status(body: String, vararg headers: Pair<String, String>) =
                            client.post("$base/loans/1") {
                                bearerAuth(ALICE_KEY)
                                headers.forEach { (name, value) -> header(name, value) }
                                setBody(body)
                            }.status.value
                        status("x".repeat(101)) shouldBe 413
                        status("", "X-Long" to "y".repeat(1000)) shouldBe 431
                        status("", *Array(30) { "X-$it" to "1" }) shouldBe 431
                        status("", "X-Deadline-Ms" to "soon") shouldBe 400
                        status("the key is $ALICE_KEY") shouldBe 400
                        service.seen.shouldBeEmpty()
                        status("fits") shouldBe 200
                    }
                }
            }
        }

        describe("a call that is not repeatable") {
            it("is retried at another target only if no byte was sent") {
                FakeTarget { respondText("booked") }.use { service ->
                    val closedPort = "http://127.0.0.1:1"
                    withDaemon(testConfig(emptyList(), listOf(closedPort, service.address))) {
                        repeat(6) {
                            val answer = client.post("$base/loans/book") { bearerAuth(ALICE_KEY) }
                            answer.bodyAsText() shouldBe "booked"
                        }
                    }
                }
                val cutting = RawTarget { send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nboo") }
                cutting.use { first ->
                    val second = RawTarget { send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nboo") }
                    second.use {
                        withDaemon(testConfig(emptyList(), listOf(first.address, second.address))) {
                            val answer = client.post("$base/loans/book") { bearerAuth(ALICE_KEY) }
                            answer.status.value shouldBe 502
                            answer.headers["X-Vanillarun-Execution"] shouldBe "unknown"
                            (first.seen + second.seen) shouldHaveSize 1
                        }
                    }
                }
            }
        }

        describe("a drain") {
            it("finishes the calls in progress, refuses new ones as not run and accepts no more") {
                val arrived = CompletableDeferred<Unit>()
                val release = CountDownLatch(1)
                val slow = RawTarget {
                    arrived.complete(Unit)
                    release.await()
                    send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
                }
                slow.use { service ->
                    val quick = settings(intervals = Intervals(drainNoticeMs = 1))
                    withDaemon(testConfig(emptyList(), listOf(service.address)), settings = quick) { daemon ->
                        coroutineScope {
                            val call = async { client.get("$base/loans/1") { bearerAuth(ALICE_KEY) }.bodyAsText() }
                            arrived.await()
                            val drained = async { daemon.drain() }
                            val refusal = eventually(eventTimeout) {
                                client.get("$base/x").also { it.status.value shouldBe 503 }
                            }
                            refusal.headers["X-Vanillarun-Execution"] shouldBe "not-run"
                            refusal.headers["Retry-After"] shouldNotBe null
                            eventually(eventTimeout) { runCatching { client.get("$base/x") }.isFailure shouldBe true }
                            client.get("$admin/readyz").status.value shouldBe 503
                            release.countDown()
                            call.await() shouldBe "done"
                            drained.await() shouldBe DrainOutcome.CLEAN
                        }
                    }
                }
            }
        }
    })
