package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.FakeTargets
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Records the heads and events that it receives. */
private class Reader : StreamSink {
    val heads = mutableListOf<Headers>()
    val events = mutableListOf<String>()

    override suspend fun open(status: Int, headers: Headers) {
        heads += headers
    }

    override suspend fun event(bytes: ByteArray) {
        events += bytes.decodeToString().trim()
    }
}

/** Caller that takes [pause] to read the event [number]; [begun] has each event whose sending began. */
private class SlowReader(private val number: Int, private val pause: Duration) : StreamSink {
    val begun = mutableListOf<String>()

    override suspend fun open(status: Int, headers: Headers) = Unit

    override suspend fun event(bytes: ByteArray) {
        begun += bytes.decodeToString().trim()
        if (begun.size == number) delay(pause)
    }
}

private fun stream(
    resumable: Boolean,
    within: Duration = 5.seconds,
    after: Long? = null,
    onRunning: () -> Unit = {},
): LiveRequest {
    val now = SystemClock.now()
    val route = CatalogRoute(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = RequestKind.STREAM,
        services = listOf(ServiceShare("desk")),
        timeout = 5.seconds,
        objective = 100.milliseconds,
        maxAttempts = 3,
        resumable = resumable,
    )
    return LiveRequest(
        id = "r1",
        method = "POST",
        uri = "/x",
        host = "h",
        headers = Headers.Empty,
        body = "b".encodeToByteArray(),
        route = route,
        customer = null,
        received = now,
        deadline = now + within,
        resumeAfter = after,
        onRunning = { onRunning() },
    )
}

private val whole = (1..5).map { "id: $it" }

class StreamForwarderTest :
    DescribeSpec({
        fun FakeTargets.all(count: Int, behaviour: Behaviour) = repeat(count) { behaviours["t$it:80"] = behaviour }

        describe("the running notification of a stream") {
            it("is sent once, before the first event, although several targets run the stream") {
                withTargets(2) {
                    targets.behaviours["t0:80"] = Behaviour.EventStream(breakAfter = 2)
                    targets.behaviours["t1:80"] = Behaviour.EventStream(breakAfter = 4)
                    val reader = Reader()
                    val passedBefore = mutableListOf<Int>()
                    streams.serve(stream(resumable = true, onRunning = { passedBefore += reader.events.size }), reader)
                    passedBefore shouldBe listOf(0)
                }
            }

            it("is not sent if every target rejects the stream") {
                withTargets(2) {
                    targets.all(2, Behaviour.Response(status = 503, notRun = true))
                    var began = 0
                    streams.serve(stream(resumable = true, onRunning = { began++ }), Reader())
                        .shouldBeInstanceOf<LiveOutcome.NotRun>()
                    began shouldBe 0
                }
            }
        }

        describe("a target that sends bytes but no events") {
            it("is given up for another one, however often it sends a byte") {
                withTargets(2) {
                    targets.all(2, Behaviour.Endless(chunk = ":".encodeToByteArray(), interval = 200.milliseconds))
                    val outcome = streams.serve(stream(resumable = true), Reader())
                    outcome.shouldBeInstanceOf<LiveOutcome.Streamed>().reason shouldContain "no event was received"
                    targets.requestedAddresses shouldHaveSize 2
                }
            }
            it("is given up once an event is longer than any can be") {
                withTargets(2) {
                    targets.all(2, Behaviour.Endless(chunk = ByteArray(16 * 1024)))
                    val outcome = streams.serve(stream(resumable = true), Reader())
                    outcome.shouldBeInstanceOf<LiveOutcome.Streamed>().reason shouldContain "too long"
                    targets.requestedAddresses shouldHaveSize 2
                }
            }
        }

        describe("a slow but sound stream") {
            it("is not cut, although it lasts longer than a stalled one would be given") {
                withTargets(1) {
                    targets.all(1, Behaviour.SlowStream(interval = 600.milliseconds))
                    val reader = Reader()
                    streams.serve(stream(resumable = true), reader) shouldBe LiveOutcome.Streamed(5, true, "whole")
                    reader.events shouldBe whole
                }
            }
        }

        // An event of which a part was sent came again, whole, from the next target.
        describe("a stream whose caller reads slowly") {
            it("is not taken for stalled, and no event is begun twice") {
                withTargets(2) {
                    targets.all(2, Behaviour.EventStream())
                    val reader = SlowReader(number = 2, pause = 2.seconds)
                    streams.serve(stream(resumable = true), reader) shouldBe LiveOutcome.Streamed(5, true, "whole")
                    reader.begun shouldBe whole
                    targets.requestedAddresses shouldHaveSize 1
                }
            }
            it("ends as incomplete, with no other answer, if its deadline passes within an event") {
                withTargets(2) {
                    targets.all(2, Behaviour.EventStream())
                    val reader = SlowReader(number = 2, pause = 5.seconds)
                    streams.serve(stream(resumable = true, within = 100.milliseconds), reader)
                        .shouldBeInstanceOf<LiveOutcome.Streamed>().complete shouldBe false
                    reader.begun shouldBe whole.take(2)
                }
            }
        }

        describe("a stream that may be resumed") {
            it("goes on at another target after the last event, under the head of the first") {
                withTargets(2) {
                    targets.behaviours["t0:80"] = Behaviour.EventStream(breakAfter = 2, signature = "s0")
                    targets.behaviours["t1:80"] = Behaviour.EventStream(breakAfter = 3, signature = "s1")
                    val reader = Reader()
                    val outcome = streams.serve(stream(resumable = true), reader)
                    outcome.shouldBeInstanceOf<LiveOutcome.Streamed>().complete shouldBe false
                    reader.heads shouldHaveSize 1
                    reader.events shouldBe whole.take(reader.events.size)
                }
                withTargets(2) {
                    targets.behaviours["t0:80"] = Behaviour.Disconnect
                    targets.behaviours["t1:80"] = Behaviour.EventStream()
                    val reader = Reader()
                    streams.serve(stream(resumable = true), reader) shouldBe LiveOutcome.Streamed(5, true, "whole")
                    reader.events shouldBe whole
                }
            }
            it("resumes at another target if one stalls or fails") {
                listOf(
                    Behaviour.Silence,
                    Behaviour.Response(500),
                    Behaviour.MismatchedResponse(),
                ).forEach { behaviour ->
                    withTargets(2) {
                        targets.behaviours["t0:80"] = behaviour
                        targets.behaviours["t1:80"] = Behaviour.EventStream()
                        val reader = Reader()
                        streams.serve(stream(resumable = true), reader) shouldBe LiveOutcome.Streamed(5, true, "whole")
                        reader.events shouldBe whole
                    }
                }
            }
            it("starts after the last event that its caller has received") {
                withTargets(1) {
                    targets.all(1, Behaviour.EventStream())
                    val reader = Reader()
                    streams.serve(stream(resumable = true, after = 3), reader)
                    reader.events shouldBe whole.drop(3)
                }
            }
        }

        describe("a stream that may run once") {
            it("is broken off with its target, and never sent a second time") {
                withTargets(3) {
                    targets.all(3, Behaviour.EventStream(breakAfter = 2))
                    val reader = Reader()
                    val outcome = streams.serve(stream(resumable = false), reader)
                    outcome.shouldBeInstanceOf<LiveOutcome.Streamed>().complete shouldBe false
                    reader.events shouldBe whole.take(2)
                    targets.requestedAddresses shouldHaveSize 1
                }
            }
            it("has an unknown outcome if its target disconnects before responding, and has not run if all reject it") {
                withTargets(3) {
                    targets.all(3, Behaviour.Disconnect)
                    streams.serve(stream(resumable = false), Reader()).shouldBeInstanceOf<LiveOutcome.Unknown>()
                    targets.requestedAddresses shouldHaveSize 1
                }
                withTargets(3) {
                    targets.all(3, Behaviour.Response(503, notRun = true))
                    streams.serve(stream(resumable = false), Reader()).shouldBeInstanceOf<LiveOutcome.NotRun>()
                }
            }
            // A late 421 to another request made a request that had been sent go to a second target.
            it("is not sent again for a rejection that answers another request") {
                withTargets(3) {
                    targets.all(3, Behaviour.MismatchedResponse(status = 421))
                    streams.serve(stream(resumable = false), Reader()).shouldBeInstanceOf<LiveOutcome.Unknown>()
                    targets.requestedAddresses shouldHaveSize 1
                }
            }
            // A late 421 that named no request made a request that had been sent go to a second target.
            it("is sent again for a rejection that names no request only on a connection without an earlier exchange") {
                withTargets(3) {
                    targets.all(3, Behaviour.Misdirected(exchange = 2))
                    streams.serve(stream(resumable = false), Reader()).shouldBeInstanceOf<LiveOutcome.Unknown>()
                    targets.requestedAddresses shouldHaveSize 1
                }
                withTargets(3) {
                    targets.all(3, Behaviour.Misdirected(exchange = 1))
                    streams.serve(stream(resumable = false), Reader()).shouldBeInstanceOf<LiveOutcome.NotRun>()
                    targets.requestedAddresses.toSet() shouldHaveSize 3
                }
            }
            it("is refused after three targets disconnected, whoever sends it again") {
                withTargets(6) {
                    targets.all(6, Behaviour.EventStream(breakAfter = 2))
                    repeat(3) { streams.serve(stream(resumable = false), Reader()) }
                    val sends = targets.requestedAddresses.size
                    streams.serve(stream(resumable = false), Reader()).shouldBeInstanceOf<LiveOutcome.NotRun>()
                    targets.requestedAddresses shouldHaveSize sends
                }
            }
            it("ends at its deadline") {
                withTargets(1) {
                    targets.all(1, Behaviour.Silence)
                    streams.serve(stream(resumable = false, within = 50.milliseconds), Reader())
                        .shouldBeInstanceOf<LiveOutcome.Unknown>().timedOut shouldBe true
                }
            }
        }
    })
