package dev.vanillarun.daemon

import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.rawCall
import dev.vanillarun.daemon.fake.rawHeader
import dev.vanillarun.daemon.fake.send
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import dev.vanillarun.daemon.target.KeepAliveServer
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val COPIED = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

private fun answer(start: String, request: String, body: String) =
    "${start}X-Request-Id: ${request.rawHeader("X-Request-Id")}\r\nContent-Length: ${body.length}\r\n\r\n$body"

/** Answers in turn 200 and 404 on a connection, the latter after the first [cut] bytes of a copy of the former. */
private class RepeatingTarget(private val cut: Int) {
    private val used = ConcurrentHashMap.newKeySet<Socket>()
    val copies = AtomicInteger()
    val respond: Socket.(String) -> Unit = { request ->
        val refusal = answer("HTTP/1.1 404 Not Found\r\n", request, "none")
        when {
            "/load " in request -> send(refusal)
            "/loans/first" in request -> send(answer(COPIED, request, "first")).also { used += this }
            used.remove(this) -> send(COPIED.take(cut) + refusal).also { copies.incrementAndGet() }
            else -> send(refusal)
        }
    }
}

class JoinedHeadsTest :
    DescribeSpec({
        // Callers got a success where the target had answered with a failure: the start of a second copy of an answer
        // and the head of the next answer on the connection were read as one head.
        for (part in listOf("HTTP/1.1 200 ", "HTTP/1.1 200 OK", "Content-Type:", "Content-Type: text/plain")) {
            it("a success cut after \"$part\" lends its status to no failure that follows on the connection") {
                val target = RepeatingTarget(cut = COPIED.indexOf(part) + part.length)
                KeepAliveServer(target.respond).use { server ->
                    withDaemon(testConfig(emptyList(), listOf(server.url))) {
                        // A load report may take the connection between the two calls.
                        while (target.copies.get() == 0) {
                            rawCall(base, "GET /loans/first", ALICE_KEY).status shouldBe 200
                            val second = rawCall(base, "GET /loans/second", ALICE_KEY)
                            second.status shouldBeIn listOf(404, 502, 503)
                            if (second.status == 404) second.text shouldBe "none"
                        }
                    }
                }
            }
        }
    })
