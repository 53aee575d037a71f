package dev.vanillarun.daemon

import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.RawResponse
import dev.vanillarun.daemon.fake.RawTarget
import dev.vanillarun.daemon.fake.TestCaller
import dev.vanillarun.daemon.fake.rawCall
import dev.vanillarun.daemon.fake.rawHeader
import dev.vanillarun.daemon.fake.send
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.seconds

private const val COMPLETION = """{"choices":[{"text":"w1@7 ","finish_reason":"stop"}]}"""

private fun part(text: String, tokens: Int = 1) =
    "data: {\"choices\":[{\"text\":\"$text\",\"finish_reason\":null}],\"tokens\":$tokens,\"weight_version\":7}\n\n"

private const val FINISH_EVENT = "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n"
private const val DONE_EVENT = "data: [DONE]\n\n"

private fun responseHead(request: String, type: String, length: Int? = null, id: String? = null) = buildString {
    append("HTTP/1.1 200 OK\r\nContent-Type: $type\r\n")
    append("X-Request-Id: ${id ?: request.rawHeader("X-Request-Id")}\r\n")
    if (length == null) append("Transfer-Encoding: chunked\r\n\r\n") else append("Content-Length: $length\r\n\r\n")
}

private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

private fun streaming(vararg events: String, end: Boolean) = RawTarget { request ->
    send(
        responseHead(request, "text/event-stream") + events.joinToString("") { chunk(it) } +
            if (end) "0\r\n\r\n" else "",
    )
}

/** Streams [events] whole; the first call waits for [release], unless it is a resumption. */
private fun holdingFirst(release: CountDownLatch, vararg events: String): RawTarget {
    val called = AtomicBoolean()
    return RawTarget { request ->
        if (called.compareAndSet(false, true) && "\"resume\"" !in request) release.await()
        send(responseHead(request, "text/event-stream") + events.joinToString("") { chunk(it) } + "0\r\n\r\n")
    }
}

private fun fixedLength(body: String, length: Int = body.length, id: String? = null) =
    RawTarget { request -> send(responseHead(request, "application/json", length, id) + body) }

private fun TestCaller.sendCompletion(stream: Boolean, maxTokens: Int = 8): RawResponse {
    val body = """{"model":"assistant","prompt":"hello","max_tokens":$maxTokens,"stream":$stream}"""
    return rawCall(base, "POST /v1/completions", ALICE_KEY, body)
}

class WholeAnswersTest :
    DescribeSpec({
        describe("an answer that is not whole") {
            it("is an error when it is shorter than its Content-Length, or not a finished completion") {
                val faulty = listOf(
                    fixedLength(COMPLETION, length = COMPLETION.length + 5),
                    fixedLength("""{"choices":[{"text":"w1@7 ","finish_reason":null}]}"""),
                    fixedLength("""{"choices":[{"te"""),
                )
                faulty.forEach { target ->
                    target.use {
                        withDaemon(testConfig(listOf(it.address), emptyList())) {
                            val response = sendCompletion(stream = false)
                            response.status shouldBe 502
                            response.execution shouldBe "unknown"
                            response.text shouldContain "broken_answer"
                        }
                    }
                }
            }

            it("is an error when a chunked body ends after a chunk without the last chunk") {
                RawTarget { send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("half")) }.use {
                    withDaemon(testConfig(emptyList(), listOf(it.address))) {
                        rawCall(base, "GET /loans/1", ALICE_KEY).status shouldBe 502
                    }
                }
            }

            it("is an error when it names another request or none") {
                listOf("someone-else", "").forEach { id ->
                    fixedLength(COMPLETION, id = id).use {
                        withDaemon(testConfig(listOf(it.address), emptyList())) {
                            sendCompletion(stream = false).status shouldBe
                                502
                        }
                    }
                }
            }

            it("is retried at another target") {
                fixedLength(COMPLETION, length = COMPLETION.length + 5).use { bad ->
                    fixedLength(COMPLETION).use { good ->
                        withDaemon(testConfig(listOf(bad.address, good.address), emptyList())) {
                            repeat(4) {
                                sendCompletion(stream = false) shouldBe
                                    RawResponse(200, COMPLETION, true, "ran")
                            }
                        }
                    }
                }
            }

            it("never ends a stream as complete") {
                val faulty = listOf(
                    streaming(part("a"), end = false),
                    streaming(part("a"), end = true),
                    streaming(part("a"), DONE_EVENT, end = true),
                    streaming(part("a"), part("b"), part("c"), FINISH_EVENT, DONE_EVENT, end = true),
                    streaming(part("a"), FINISH_EVENT, DONE_EVENT, part("b"), end = true),
                )
                faulty.forEach { target ->
                    target.use {
                        withDaemon(testConfig(listOf(it.address), emptyList())) {
                            val response = sendCompletion(stream = true, maxTokens = 2)
                            response.complete shouldBe false
                            response.text shouldContain "\"error\":"
                        }
                    }
                }
            }

            it("resumes at another target exactly where the first one broke off") {
                val release = CountDownLatch(1)
                streaming(part("a "), part("b ", tokens = 2), end = false).use { bad ->
                    holdingFirst(release, part("c "), FINISH_EVENT, DONE_EVENT).use { good ->
                        withDaemon(testConfig(listOf(bad.address, good.address), emptyList())) {
                            coroutineScope {
                                var resumed = 0
                                fun check(response: RawResponse) {
                                    response.complete shouldBe true
                                    response.text shouldContain "[DONE]"
                                    if ("a " in response.text) resumed++
                                }
                                // A target that holds its first call is warming up, so the next goes to the bad one.
                                val first = async(Dispatchers.IO) { sendCompletion(stream = true) }
                                eventually(5.seconds) { good.seen.shouldNotBeEmpty() }
                                repeat(6) { check(sendCompletion(stream = true)) }
                                release.countDown()
                                check(first.await())
                                val resumes = good.seen.filter { "\"resume\"" in it }
                                resumes.forEach { it shouldContain """"resume":{"text":"a b ","tokens":3}""" }
                                resumes shouldHaveSize resumed
                                (resumed > 0) shouldBe true
                            }
                        }
                    }
                }
            }

            it("is not resumed when the number of tokens so far is unknown") {
                val uncounted = "data: {\"choices\":[{\"text\":\"a \",\"finish_reason\":null}]}\n\n"
                streaming(uncounted, end = false).use { bad ->
                    streaming(uncounted, end = false).use { other ->
                        withDaemon(testConfig(listOf(bad.address, other.address), emptyList())) {
                            val response = sendCompletion(stream = true)
                            response.complete shouldBe false
                            response.text shouldNotContain "[DONE]"
                            (bad.seen + other.seen) shouldHaveSize 1
                        }
                    }
                }
            }
        }
    })
