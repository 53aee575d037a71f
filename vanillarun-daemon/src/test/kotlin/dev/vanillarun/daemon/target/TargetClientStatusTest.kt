package dev.vanillarun.daemon.target

import dev.vanillarun.daemon.fake.send
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.seconds

private const val OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/** Framings of an answer, by name. */
private val framings = mapOf(
    "with a length" to "Content-Length: 2\r\n\r\nno",
    "in chunks" to "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    "without a length" to "\r\nno",
    "without a body" to "Content-Length: 0\r\n\r\n",
)

class TargetClientStatusTest :
    DescribeSpec({
        // Guards against answers with a status that is none: callers got them, or waited until their deadline.
        describe("an answer whose status HTTP does not define") {
            listOf(0, 1, 99, 600, 742, 999).forEach { status ->
                framings.forEach { (framing, rest) ->
                    val answer = "HTTP/1.1 ${status.toString().padStart(3, '0')} X\r\n$rest"
                    it("breaks the exchange at once, also if another answer follows: $status, $framing") {
                        for (followed in listOf(answer, answer + OK)) {
                            KeepAliveServer(respond = { send(followed) }).use { server ->
                                NettyTargetClient().use { client ->
                                    withTimeout(10.seconds) {
                                        val result = client.get(server.url).shouldBeInstanceOf<ExchangeResult.Broken>()
                                        result.cause shouldBe BreakCause.INVALID_ANSWER
                                    }
                                    client.isWarm(server.url.removePrefix("http://")) shouldBe false
                                }
                            }
                        }
                    }
                }
                it("tells a probe nothing: $status") {
                    val code = status.toString().padStart(3, '0')
                    KeepAliveServer(respond = { send("HTTP/1.1 $code X\r\nContent-Length: 0\r\n\r\n") }).use { server ->
                        KtorTargetClient().use { client ->
                            val request = TargetRequest("GET", "${server.url}/", Headers.Empty)
                            withTimeout(10.seconds) { client.exchange(request) { it.status } }
                                .shouldBeInstanceOf<ExchangeResult.Broken>()
                        }
                    }
                }
            }
        }
        it("each final status that HTTP defines is one of an answer") {
            KeepAliveServer(
                respond = { request ->
                    val status = request.substringAfter("/x").substringBefore('?')
                    send("HTTP/1.1 $status X\r\nContent-Length: 0\r\n\r\n")
                },
            ).use { server ->
                NettyTargetClient().use { client ->
                    for (status in 200..599) {
                        val request = TargetRequest("GET", "${server.url}/x$status?", Headers.Empty)
                        withClue("$status") {
                            val result = withTimeout(10.seconds) { client.exchange(request) { it.status } }
                            result shouldBe ExchangeResult.Answered(status)
                        }
                    }
                }
            }
        }
    })
