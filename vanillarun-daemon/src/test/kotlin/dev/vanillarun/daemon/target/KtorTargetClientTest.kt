package dev.vanillarun.daemon.target

import dev.vanillarun.daemon.fake.send
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.http.Headers

class KtorTargetClientTest :
    DescribeSpec({
        // A probe on a connection in use before tells nothing of new ones, and may get what the exchange before left.
        it("opens a connection for each exchange") {
            KeepAliveServer(respond = { send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }).use { server ->
                KtorTargetClient().use { client ->
                    repeat(3) {
                        client.exchange(TargetRequest("GET", "${server.url}/", Headers.Empty)) {
                            while (it.body.next() is BodyPart.Bytes) Unit
                            it.status
                        } shouldBe ExchangeResult.Answered(200)
                    }
                }
                server.connections.get() shouldBe 3
            }
        }
    })
