package dev.vanillarun.daemon

import dev.vanillarun.daemon.fake.ALICE_KEY
import dev.vanillarun.daemon.fake.BOB_KEY
import dev.vanillarun.daemon.fake.FakeTarget
import dev.vanillarun.daemon.fake.TARGET_CREDENTIAL
import dev.vanillarun.daemon.fake.TestCaller
import dev.vanillarun.daemon.fake.testConfig
import dev.vanillarun.daemon.fake.withDaemon
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter

private const val EVENTS = "data: {\"choices\":[{\"text\":\"w1@7 \",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

private fun engine() = FakeTarget { seen ->
    response.header("X-Request-Id", seen.header("x-request-id").orEmpty())
    if ("\"stream\":true" in seen.body) {
        respondTextWriter(ContentType.Text.EventStream) { write(EVENTS) }
    } else {
        respondText(
            """{"choices":[{"text":"w1@7 ","finish_reason":"stop"}],"weight_versions":[7]}""",
            ContentType.Application.Json,
        )
    }
}

private fun service() = FakeTarget { seen -> respondText("${seen.method} ${seen.uri}") }

private suspend fun TestCaller.complete(key: String?, stream: Boolean = false): HttpResponse =
    client.post("$base/v1/completions") {
        key?.let(::bearerAuth)
        header("Content-Type", "application/json")
        setBody("""{"model":"assistant","prompt":"hello","max_tokens":1,"stream":$stream}""")
    }

class ThinPathTest :
    DescribeSpec({
        describe("a daemon with engines and services") {
            it("forwards completions, buffered and streamed, without the caller's key") {
                engine().use { engine ->
                    withDaemon(testConfig(listOf(engine.address), emptyList())) {
                        complete(ALICE_KEY).bodyAsText() shouldContain "w1@7 "
                        val streamed = complete(ALICE_KEY, stream = true)
                        streamed.bodyAsText() shouldBe EVENTS
                        streamed.headers["X-Vanillarun-Execution"] shouldBe "ran"
                        streamed.headers["X-Request-Id"] shouldNotBe null
                        engine.seen.forEach {
                            it.toString() shouldNotContain ALICE_KEY
                            it.header("authorization") shouldBe "Bearer $TARGET_CREDENTIAL"
                        }
                    }
                }
            }

            it("refuses wrong, missing and other customers' keys before any target sees the call") {
                engine().use { engine ->
                    withDaemon(testConfig(listOf(engine.address), emptyList())) {
                        complete(null).status.value shouldBe 401
                        complete("vr_wrong").status.value shouldBe 401
                        val other = complete(BOB_KEY)
                        other.status.value shouldBe 403
                        other.headers["X-Vanillarun-Execution"] shouldBe "not-run"
                        other.bodyAsText() shouldContain "\"execution\":\"not-run\""
                        engine.seen.shouldBeEmpty()
                    }
                }
            }

            it("passes service calls by the longest prefix and strips copies of the key") {
                service().use { service ->
                    withDaemon(testConfig(emptyList(), listOf(service.address))) {
                        client.get("$base/loans/archive/1") { bearerAuth(ALICE_KEY) }.status.value shouldBe 403
                        client.get("$base/loansX") { bearerAuth(ALICE_KEY) }.status.value shouldBe 404
                        client.get("$base/public/a").bodyAsText() shouldBe "GET /public/a"
                        val answer = client.get("$base/loans/7?api_key=$ALICE_KEY&x=1&y=$ALICE_KEY") {
                            bearerAuth(ALICE_KEY)
                            header("X-Api-Key", ALICE_KEY)
                            header("X-Other", "a $ALICE_KEY")
                            header("Cookie", "k=$ALICE_KEY")
                        }
                        answer.bodyAsText() shouldBe "GET /loans/7?x=1"
                        service.seen.forEach { it.toString() shouldNotContain ALICE_KEY }
                    }
                }
            }

            it("lists the models that a customer may use, and serves status and health") {
                withDaemon(testConfig(emptyList(), emptyList())) {
                    client.get("$base/v1/models") { bearerAuth(ALICE_KEY) }.bodyAsText() shouldContain "assistant"
                    client.get("$base/v1/models") { bearerAuth(BOB_KEY) }.bodyAsText() shouldNotContain "assistant"
                    client.get("$base/v1/models").status.value shouldBe 401
                    adminText("/status") shouldContain "\"config_offset\":0"
                    adminText("/healthz") shouldBe "ok\n"
                }
            }
        }
    })
