package dev.vanillarun.daemon

import dev.vanillarun.daemon.caller.ActiveCalls
import dev.vanillarun.daemon.caller.Connections
import dev.vanillarun.daemon.caller.ServingState
import dev.vanillarun.daemon.fake.eventTimeout
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.response.respondText
import io.netty.channel.SingleThreadEventLoop
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.withContext
import java.net.Socket
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration

private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

/** Sends a request. The kernel establishes the connection whether or not the server has accepted it. */
private fun Socket.sendRequest() = getOutputStream().run {
    write(REQUEST.toByteArray())
    flush()
}

class DrainRaceTest :
    DescribeSpec({
        describe("a caller that connects while the server is too busy to accept and begins to drain") {
            it("gets its answer") {
                val connections = Connections(maxConnections = 10)
                val serving = MutableStateFlow(ServingState.SERVING)
                val server = HttpServer.start("127.0.0.1:0", connections) {
                    intercept(ApplicationCallPipeline.Call) { context.respondText("whole") }
                }
                val drain =
                    Drain(connections, ActiveCalls(), serving, noticePeriod = Duration.ZERO, timeout = eventTimeout)
                val loop = connections.listeners.single().eventLoop() as SingleThreadEventLoop
                val busy = CountDownLatch(1)
                loop.execute { busy.await() }
                eventually(eventTimeout) { loop.pendingTasks() shouldBe 0 }
                val (host, port) = server.address.split(':')
                coroutineScope {
                    Socket(host, port.toInt()).use { caller ->
                        caller.sendRequest()
                        val drained = async(Dispatchers.Default) { drain.run() }
                        eventually(eventTimeout) { loop.pendingTasks() shouldBeGreaterThan 0 }
                        busy.countDown()
                        val answer = withContext(Dispatchers.IO) { caller.getInputStream().reader().readText() }
                        answer shouldStartWith "HTTP/1.1 200"
                        drained.await() shouldBe DrainOutcome.CLEAN
                    }
                }
                server.stop()
            }
        }
    })
