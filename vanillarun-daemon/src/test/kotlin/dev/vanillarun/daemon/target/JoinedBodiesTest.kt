package dev.vanillarun.daemon.target

import dev.vanillarun.daemon.fake.send
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.net.Socket

private val BODY = "the whole body of an answer. ".repeat(8)

private fun answer(fields: String) = "HTTP/1.1 200 OK\r\n${fields}Request-Id: own\r\n\r\n$BODY"

class JoinedBodiesTest :
    DescribeSpec({
        // The rest of a body was filled with the head and body of a second copy, and looked whole.
        describe("an answer that is cut in its body, and a second copy as a whole") {
            val framings = mapOf("a length" to "Content-Length: ${BODY.length}\r\n", "the end of the connection" to "")
            framings.forEach { (name, fields) ->
                it("with $name are never one whole answer") {
                    val whole = answer(fields)
                    var cut = 0
                    val respond: Socket.(String) -> Unit = {
                        send(whole.dropLast(BODY.length - cut) + whole)
                        if (fields.isEmpty()) close()
                    }
                    KeepAliveServer(respond).use { server ->
                        NettyTargetClient().use { client ->
                            while (cut < BODY.length) {
                                val result = client.get(server.url)
                                result.shouldBeInstanceOf<ExchangeResult.Answered<Pair<String, Boolean>>>()
                                withClue("cut after $cut bytes") { result.value.second shouldBe false }
                                cut++
                            }
                        }
                    }
                }
            }
            it("leave the answer as it is if nothing is cut") {
                KeepAliveServer({ send(answer("Content-Length: ${BODY.length}\r\n").repeat(2)) }).use { server ->
                    NettyTargetClient().use { it.get(server.url) shouldBe ExchangeResult.Answered(BODY to true) }
                }
            }
        }
    })
