package dev.vanillarun.daemon.caller

import dev.vanillarun.core.request.RequestFault
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.coroutines.ExperimentalCoroutinesApi
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

private const val LENGTH = "Content-Length: 3\r\n"
private const val CHUNKED = "Transfer-Encoding: chunked\r\n"

private fun request(fields: String, body: String) = "POST /x HTTP/1.1\r\nHost: a\r\n$fields\r\n$body"

private val Sound = listOf(request(LENGTH, "abc"), request(CHUNKED, "3\r\nabc\r\n0\r\n\r\n"))

private val Inserted =
    listOf(" ", "+", ",", ":", "\r\n", "\n", "0", "-", "\t", "\u0000", "3, ", LENGTH, CHUNKED, "HTTP/1.1", "gzip, ")

/** A change of a text: [removed] characters at [place] (of 1,000) give way to [inserted]. */
private class Change(val place: Int, val removed: Int, val inserted: String) {
    fun of(text: String): String {
        val start = text.length * place / 1_000
        return text.substring(0, start) + inserted + text.substring(minOf(text.length, start + removed))
    }
}

/** What a caller's connection and a handler that answers each whole message see. */
@OptIn(ExperimentalCoroutinesApi::class)
private class Served(parts: List<String>, pause: Duration = Duration.ZERO) {
    val bodies = mutableListOf<String>()
    val faults = mutableListOf<RequestFault>()
    private val handler = object : ChannelInboundHandlerAdapter() {
        private var request: HttpRequest? = null
        private val body = StringBuilder()

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            if (message is HttpRequest) request = message.also { body.clear() }
            if (message is HttpContent) body.append(message.content().toString(Charsets.ISO_8859_1))
            if (message is LastHttpContent) answer(context)
        }

        private fun answer(context: ChannelHandlerContext) {
            val fault = request!!.headers().getAll(MESSAGE_END).messageEnd().getCompleted()
            if (fault == null) bodies += "$body" else faults += fault
            val status = if (fault == null) HttpResponseStatus.OK else HttpResponseStatus.BAD_REQUEST
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status)
            response.headers()["Content-Length"] = 0
            context.writeAndFlush(response)
        }
    }
    private val connections = Connections(maxConnections = 1)
    private val channel = EmbeddedChannel().apply {
        freezeTime()
        pipeline().addLast("codec", HttpServerCodec())
        connections.track(pipeline())
        pipeline().addLast(handler)
    }
    val counted: Long get() = connections.faultCounts.values.sum()
    val open: Boolean
    val written: String

    init {
        parts.asSequence().takeWhile { channel.isOpen }.forEach {
            channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1))
            channel.advanceTimeBy(pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }
        repeat(BOUNDS) {
            channel.advanceTimeBy(STALL_LIMIT.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
        }
        open = channel.isOpen
        written = generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") {
            it.toString(Charsets.ISO_8859_1).also { _ -> it.release() }
        }
        channel.finishAndReleaseAll()
    }

    private companion object {
        /** Bounds of time after which each message has come to an end. */
        const val BOUNDS = 3
    }
}

/** Bodies of the whole sound messages at the start of [text], by RFC 9112. */
private fun soundBodies(text: String): List<String> {
    val bodies = mutableListOf<String>()
    var left = text
    while (true) {
        val match = Message.matchAt(left, 0) ?: return bodies
        val rest = left.substring(match.value.length)
        val fields = match.groupValues[1].replace(Fold, " ").lines().filter { ':' in it }
            .map { it.substringBefore(':').lowercase() to it.substringAfter(':').trim(' ', '\t') }
        val lengths = fields.filter { it.first == "content-length" }.map { it.second }
        val codings = fields.filter { it.first == "transfer-encoding" }.map { it.second.lowercase() }
        val body = when {
            lengths.isEmpty() && codings.isEmpty() -> "" to rest
            codings == listOf("chunked") && lengths.isEmpty() -> chunkedBody(rest)
            codings.isEmpty() && lengths.size == 1 && Regex("[0-9]{1,9}").matches(lengths[0]) -> rest.cut(lengths[0])
            else -> null
        } ?: return bodies
        bodies += body.first
        left = body.second
    }
}

private fun String.cut(length: String) = length.toInt().takeIf { it <= this.length }?.let { take(it) to drop(it) }

/** The body in chunks at the start of [text] and what follows it; null if it is not whole or not sound. */
private fun chunkedBody(text: String): Pair<String, String>? {
    var left = text
    val body = StringBuilder()
    while (true) {
        val line = ChunkLine.matchAt(left, 0) ?: return null
        val size = line.groupValues[1].toInt(radix = 16)
        left = left.substring(line.value.length)
        if (size == 0) return Trailers.matchAt(left, 0)?.let { "$body" to left.substring(it.value.length) }
        if (!left.startsWith("\r\n", size)) return null
        body.append(left.take(size))
        left = left.drop(size + 2)
    }
}

private const val TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
private const val TEXT = """[\t\u0020-\u007e]*"""

/** A line that begins with a space goes on with the field before it, RFC 9112, section 5.2. */
private const val FIELD = """$TOKEN:$TEXT\r\n(?:[ \t]$TEXT\r\n)*"""
private val Fold = Regex("""\r\n[ \t]""")

/** Spaces may stand around and between the parts of the first line, RFC 9112, section 3. */
private val Message = Regex("""[\r\n\t ]*$TOKEN[ \t]+[!-~]+[ \t]+HTTP/1\.1[ \t]*\r\n((?:$FIELD)*)\r\n""")

/** Netty also reads a size after spaces, and one before a carriage return that ends no line. */
private val ChunkLine = Regex("""[ \t]*([0-9a-fA-F]{1,7})(?:[ \t;\r][^\n]*)?\r\n""")
private val Trailers = Regex("""(?:$FIELD)*\r\n""")

class MutatedRequestsTest :
    DescribeSpec({
        // Malformed messages got no answer, and their connections stayed open.
        describe("a connection whose bytes are those of sound requests with changes") {
            it("ends or gets an answer to each message, and only whole sound messages run") {
                val changes = Arb.list(Arb.int(0..999), 1..3)
                val inserts = Arb.element(Inserted)
                checkAll(ITERATIONS, Arb.element(Sound), changes, Arb.int(0..4), inserts, Arb.int(1..40)) {
                        sound,
                        places,
                        removed,
                        inserted,
                        size,
                    ->
                    val text = places.fold(sound) { text, place -> Change(place, removed, inserted).of(text) }
                    val served = Served((text + Sound[0]).chunked(size))
                    withClue(text.replace("\r", "\\r").replace("\n", "\\n")) {
                        val bodies = soundBodies(text + Sound[0])
                        served.bodies shouldContainExactly bodies.take(served.bodies.size)
                        served.faults.size shouldBeLessThanOrEqual 1
                        val answers = Regex("HTTP/1.1 \\d+").findAll(served.written).count()
                        answers shouldBe served.bodies.size + served.faults.size
                        if (served.bodies.size != bodies.size) served.open shouldBe false
                        if (!served.open) served.counted shouldBe 1
                    }
                }
            }
            it("ends within a bound if a head or a body never comes to its end") {
                Sound.forEach { text ->
                    (1 until text.length).forEach { cut ->
                        val served = Served(listOf(text.take(cut)))
                        withClue(text.take(cut)) {
                            served.open shouldBe false
                            served.bodies shouldBe emptyList()
                            served.counted shouldBe 1
                        }
                    }
                }
            }
            it("takes a body as slowly as it comes, while it comes") {
                val (head, body) = Sound[0].split("\r\n\r\n")
                val served = Served(listOf("$head\r\n\r\n") + body.map { "$it" }, pause = STALL_LIMIT * 0.9)
                served.bodies shouldBe listOf(body)
                served.open shouldBe true
            }
            it("stays open after a whole message") {
                Sound.forEach { Served(it.chunked(7)).open shouldBe true }
            }
        }
    })

private const val ITERATIONS = 2_000
