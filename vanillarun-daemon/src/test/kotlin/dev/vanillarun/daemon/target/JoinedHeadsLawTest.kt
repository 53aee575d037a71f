package dev.vanillarun.daemon.target

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

private const val FIELDS = "Request-Id: own\r\nServer-Signature: signed\r\nContent-Length: 0\r\n\r\n"

private val firsts = listOf(
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type : text/plain\r\nX:y\r\n folded\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nRequest-Id: other\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n",
)

private val seconds = listOf(
    "HTTP/1.1 500 Internal Server Error\r\n",
    "HTTP/1.0 404 Not Found\r\n",
    "HTTP/1.1 500\r\n",
    "http/1.1 500 No\r\n",
    "HTTP/1.1\t500 No\r\n",
    "HTTP/1.1\u000b500 No\r\n",
    "HTTP/1.1\u000c500 No\r\n",
    "HTTP/1.1 +500 No\r\n",
    "HTTP/1.1  0500 No\r\n",
    " HTTP/1.1 500 No\r\n",
).map { it + FIELDS }

/** Responses that the decoder accepts in [bytes] on a connection on which an exchange waits, read in [parts] parts. */
private fun decode(bytes: String, parts: Int): List<HttpResponse> {
    val exchanges = ExchangeHandler()
    val channel = EmbeddedChannel(ResponseDecoder(exchanges, HttpDecoderConfig()))
    val accepted = mutableListOf<HttpResponse>()
    val exchange = NettyExchange(EmbeddedChannel(exchanges))
    exchange.send(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"))
    bytes.chunked(bytes.length / parts + 1).forEach {
        channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1))
        generateSequence { channel.readInbound<Any>() }.forEach { message ->
            if (message is HttpResponse && message.decoderResult().isSuccess) accepted += message
        }
    }
    return accepted
}

class JoinedHeadsLawTest :
    DescribeSpec({
        // Callers got the status of the first with the fields, and so the identity, of the second.
        it("no cut of a response and another response are one that names the request of the second") {
            for (first in firsts) {
                for (second in seconds) {
                    for (cut in 1 until first.length) {
                        for (parts in listOf(1, 3)) {
                            val responses = decode(first.take(cut) + second, parts)
                            withClue("${first.take(cut)}|$second") {
                                responses.count { it.headers()["Request-Id"] == "own" } shouldBe 0
                            }
                        }
                    }
                }
            }
        }
        it("a response alone is accepted, in any number of parts") {
            for (parts in 1..20) decode(seconds.first(), parts).size shouldBe 1
            decode(firsts.last() + seconds.first(), parts = 2).size shouldBe 2
            firsts.forEach { decode(it, parts = 1).size shouldBe 1 }
        }
    })
