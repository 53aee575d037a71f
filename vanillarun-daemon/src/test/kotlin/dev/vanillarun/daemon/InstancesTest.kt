package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.Intervals
import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.FakeLog
import dev.vanillarun.daemon.fake.FakeTarget
import dev.vanillarun.daemon.fake.RawTarget
import dev.vanillarun.daemon.fake.TestCaller
import dev.vanillarun.daemon.fake.eventTimeout
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.server.response.respondText
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope

private fun settings(name: String, seeds: List<String> = emptyList()) = DaemonSettings(
    instance = name,
    dataCentre = "torino",
    platform = "http://127.0.0.1:1",
    seeds = seeds,
    intervals = Intervals(heartbeatMs = 20, logWaitMs = 50),
)

private suspend fun TestCaller.book(key: String, body: String = "frame 7"): HttpResponse =
    client.post("$base/loans/book") {
        bearerAuth(ALICE_KEY)
        header("Idempotency-Key", key)
        setBody(body)
    }

private val HttpResponse.execution get() = headers["X-Vanillarun-Execution"]

class InstancesTest :
    DescribeSpec({
        describe("a call with an idempotency key") {
            it("runs once despite concurrent and later resends at other instances") {
                val log = FakeLog()
                FakeTarget { respondText("booked") }.use { service ->
                    val config = testConfig(emptyList(), listOf(service.address))
                    withDaemon(config, log, settings("i1")) {
                        val first = this
                        withDaemon(config, log, settings("i2")) {
                            val answers = coroutineScope {
                                List(8) { if (it % 2 == 0) first else this@withDaemon }
                                    .map { async { it.book("k1") } }
                                    .awaitAll()
                            }
                            answers.count { it.status.value == 200 } shouldBe 1
                            answers.count { it.status.value == 409 } shouldBe 7
                            service.seen shouldHaveSize 1
                            val late = book("k1")
                            late.status.value shouldBe 409
                            late.execution shouldBe "ran"
                            book("k1", body = "another frame").execution shouldBe "not-run"
                            book("k2").bodyAsText() shouldBe "booked"
                            service.seen shouldHaveSize 2
                        }
                    }
                }
            }

            it("is refused as not run while the log is unavailable") {
                val log = FakeLog()
                FakeTarget { respondText("booked") }.use { service ->
                    withDaemon(testConfig(emptyList(), listOf(service.address)), log, settings("i1")) {
                        log.unavailable = true
                        val answer = book("k1")
                        answer.status.value shouldBe 503
                        answer.execution shouldBe "not-run"
                        answer.headers["Retry-After"] shouldNotBe null
                        service.seen.shouldBeEmpty()
                    }
                }
            }

            it("is not repeated when its response is lost, and a resend is answered as unknown") {
                val log = FakeLog()
                RawTarget { close() }.use { one ->
                    RawTarget { close() }.use { two ->
                        val config = testConfig(emptyList(), listOf(one.address, two.address))
                        withDaemon(config, log, settings("i1")) {
                            book("k1").execution shouldBe "unknown"
                            book("k1").execution shouldBe "unknown"
                            (one.seen + two.seen) shouldHaveSize 1
                        }
                    }
                }
            }
        }

        describe("an instance that starts while the log is away") {
            it("takes the configuration from a peer") {
                val log = FakeLog()
                FakeTarget { respondText("booked") }.use { service ->
                    withDaemon(testConfig(emptyList(), listOf(service.address)), log, settings("i1")) { first ->
                        log.unavailable = true
                        val seeded = settings("i2", seeds = listOf(first.peerAddress))
                        withDaemon(testConfig(emptyList(), emptyList()), log, seeded) { second ->
                            second.status.configOffset shouldBe first.status.configOffset
                            val answer = client.post("$base/loans/1") { bearerAuth(ALICE_KEY) }
                            answer.bodyAsText() shouldContain "booked"
                        }
                    }
                }
            }
        }

        describe("the instances of a data centre") {
            it("discover each other through a single seed") {
                val log = FakeLog()
                withDaemon(testConfig(emptyList(), emptyList()), log, settings("i1")) { first ->
                    withDaemon(testConfig(emptyList(), emptyList()), log, settings("i2", listOf(first.peerAddress))) {
                        val third = settings("i3", listOf(first.peerAddress))
                        withDaemon(testConfig(emptyList(), emptyList()), log, third) { daemon ->
                            eventually(eventTimeout) {
                                daemon.status.members shouldContainExactlyInAnyOrder listOf("i1", "i2")
                            }
                        }
                    }
                }
            }
        }
    })
