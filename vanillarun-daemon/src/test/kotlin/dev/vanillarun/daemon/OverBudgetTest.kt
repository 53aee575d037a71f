package dev.vanillarun.daemon

import dev.vanillarun.core.retry.RetryRules
import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.FakeTarget
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond

private const val CALLS = 60
private const val CLOSED_PORT = "http://127.0.0.1:1"
private const val OVER_BUDGET = "too many attempts fail"

class OverBudgetTest :
    DescribeSpec({
        describe("calls whose targets all fail, after the retry budget is spent") {
            it("are refused at once with Retry-After, and attempts stay within the budget") {
                val failing = List(3) { FakeTarget { respond(HttpStatusCode.ServiceUnavailable) } }
                try {
                    withDaemon(testConfig(emptyList(), failing.map { it.address })) {
                        val answers = List(CALLS) { client.get("$base/loans/1") { bearerAuth(ALICE_KEY) } }
                        val refused = answers.filter { OVER_BUDGET in it.bodyAsText() }
                        refused.size shouldBeGreaterThan CALLS / 2
                        refused.forEach { answer ->
                            answer.status.value shouldBe 503
                            answer.headers["X-Vanillarun-Execution"] shouldBe "unknown"
                            answer.headers["Retry-After"].shouldNotBeNull()
                            answer.bodyAsText() shouldContain "target_unavailable"
                        }
                        val rules = RetryRules()
                        failing.sumOf { it.seen.size }.toDouble() shouldBeLessThanOrEqual
                            CALLS * (1 + rules.ratio) + rules.burst
                    }
                } finally {
                    failing.forEach { it.close() }
                }
            }

            it("are refused as not run when no byte left") {
                withDaemon(testConfig(emptyList(), listOf(CLOSED_PORT, "http://127.0.0.1:2"))) {
                    val answers = List(CALLS) { client.get("$base/loans/1") { bearerAuth(ALICE_KEY) } }
                    val refused = answers.filter { OVER_BUDGET in it.bodyAsText() }
                    refused.size shouldBeGreaterThan 0
                    refused.map { it.headers["X-Vanillarun-Execution"] }.distinct() shouldBe listOf("not-run")
                    refused.flatMap { it.headers.names().map(String::lowercase) } shouldContain "retry-after"
                }
            }
        }
    })
