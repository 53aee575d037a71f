package dev.vanillarun.daemon.admin

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.daemon.Daemon
import dev.vanillarun.daemon.PlatformPorts
import dev.vanillarun.daemon.fake.FakeLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.http.HttpStatusCode
import java.util.concurrent.atomic.AtomicInteger

class DrainRequestTest :
    DescribeSpec({
        it("requests the stop of the process only on POST") {
            val stopRequests = AtomicInteger()
            val settings = DaemonSettings("i1", "torino", platform = "http://127.0.0.1:1")
            val daemon = Daemon.start(settings, PlatformPorts(FakeLog())) { stopRequests.incrementAndGet() }
            val client = HttpClient(CIO)
            try {
                val url = "http://${daemon.adminAddress}/drain"
                client.get(url).status shouldBe HttpStatusCode.MethodNotAllowed
                stopRequests.get() shouldBe 0
                client.post(url).status shouldBe HttpStatusCode.Accepted
                stopRequests.get() shouldBe 1
            } finally {
                client.close()
                daemon.stop()
            }
        }
    })
