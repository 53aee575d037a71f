package dev.vanillarun.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.ktor.server.application.ApplicationCallPipeline
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers

class FailedCallTest :
    DescribeSpec({
        // Callers got the text of an exception.
        describe("a call whose handler throws") {
            it("is answered with a 500 without the text of the exception") {
                val server = HttpServer.start("127.0.0.1:0") {
                    intercept(ApplicationCallPipeline.Call) { error("the text") }
                }
                try {
                    val request = HttpRequest.newBuilder(URI("http://${server.address}/")).build()
                    val response = HttpClient.newHttpClient().send(request, BodyHandlers.ofString())
                    response.statusCode() shouldBe 500
                    response.body() shouldBe ""
                } finally {
                    server.stop()
                }
            }
        }
    })
