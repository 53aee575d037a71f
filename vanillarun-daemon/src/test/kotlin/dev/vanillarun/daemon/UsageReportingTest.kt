package dev.vanillarun.daemon

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.Intervals
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.UsageReport
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.core.usage.mergedWith
import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.BOB_KEY
import dev.vanillarun.daemon.fake.FakeTarget
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

private const val RESPONSE =
    """{"choices":[{"text":"w1@7 ","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":1},""" +
        """"weight_versions":[7]}"""

class UsageReportingTest :
    DescribeSpec({
        val settings = DaemonSettings(
            instance = "i1",
            dataCentre = "torino",
            platform = "http://127.0.0.1:1",
            intervals = Intervals(usageWindowMs = 120, leaseTermMs = 1_000),
        )

        describe("a daemon that holds the reporting duty") {
            it("reports only completed responses to known customers") {
                val reports = MutableStateFlow(emptyList<UsageReport>())
                val reporting = UsageReporting { report, guard, _ ->
                    check(guard.permits()) { "a report was sent without the lease" }
                    reports.update { it + report }
                    PlatformResult.Answered(Unit)
                }
                val engine = FakeTarget { seen ->
                    response.header("X-Request-Id", seen.header("x-request-id").orEmpty())
                    respondText(RESPONSE, ContentType.Application.Json)
                }
                val service = FakeTarget { respondText("ok") }
                engine.use { _ ->
                    service.use { _ ->
                        val config = testConfig(listOf(engine.address), listOf(service.address))
                        withDaemon(config, settings = settings, reporting = reporting) {
                            repeat(3) {
                                client.post("$base/v1/completions") {
                                    bearerAuth(ALICE_KEY)
                                    header("Content-Type", "application/json")
                                    setBody("""{"model":"assistant","prompt":"hello","max_tokens":1}""")
                                }.status.value shouldBe 200
                            }
                            client.get("$base/loans/1") { bearerAuth(BOB_KEY) }.status.value shouldBe 200
                            client.get("$base/public/1").status.value shouldBe 200
                            client.get("$base/loans/2") { bearerAuth("vr_wrong") }.status.value shouldBe 401
                            val all = reports.first { seen -> seen.figures().sumOf { it.requests } == 4L }
                            all.figures() shouldBe listOf(
                                UsageFigure(CustomerId("alice"), 3, 9, 3),
                                UsageFigure(CustomerId("bob"), 1, 0, 0),
                            )
                        }
                    }
                }
            }
        }
    })

private fun List<UsageReport>.figures(): List<UsageFigure> =
    distinctBy { it.window }.fold(emptyList()) { sum, report -> sum.mergedWith(report.figures) }
