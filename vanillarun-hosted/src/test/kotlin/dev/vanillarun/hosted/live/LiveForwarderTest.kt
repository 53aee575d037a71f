package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTargets
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.target.TargetGateway
import dev.vanillarun.hosted.target.TargetTracker
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.ktor.http.Headers
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import kotlin.coroutines.CoroutineContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs a coroutine up to its first suspension as it is launched, so that it can't be cancelled before it begins. */
private object EagerDispatcher : CoroutineDispatcher() {
    override fun dispatch(context: CoroutineContext, block: Runnable) = block.run()
}

/** Calls of which several meet the race, on a thread that is kept busy while both timers expire. */
private const val COINCIDENCES = 300
private const val FLOODS = 200
private const val FLOOD_CHUNK = 64 * 1024

private fun route(kind: RequestKind, attempts: Int = 3) = CatalogRoute(
    name = "r",
    host = "h",
    pathPrefix = "/",
    kind = kind,
    services = listOf(ServiceShare("desk")),
    timeout = 5.seconds,
    objective = 100.milliseconds,
    maxAttempts = attempts,
)

private fun request(
    route: CatalogRoute,
    within: Duration = 5.seconds,
    body: String = "b",
    id: String = "r1",
    hedgeDelay: Duration = route.objective / 2,
    onRunning: () -> Unit = {},
): LiveRequest {
    val now = SystemClock.now()
    return LiveRequest(
        id = id,
        method = "POST",
        uri = "/x",
        host = "h",
        headers = Headers.Empty,
        body = body.encodeToByteArray(),
        route = route,
        customer = null,
        received = now,
        deadline = now + within,
        hedgeDelay = hedgeDelay,
        onRunning = { onRunning() },
    )
}

class LiveForwarderTest :
    DescribeSpec({
        fun FakeTargets.all(count: Int, behaviour: Behaviour) = repeat(count) { behaviours["t$it:80"] = behaviour }

        describe("the running notification of a call") {
            suspend fun LiveTestFixture.began(kind: RequestKind): Int {
                var began = 0
                live.serve(request(route(kind), within = 300.milliseconds, onRunning = { began++ }))
                return began
            }

            it("is sent once, even if several targets run the call or none responds") {
                withTargets(2) {
                    targets.all(2, Behaviour.Silence)
                    began(RequestKind.IDEMPOTENT) shouldBe 1
                    targets.requestedAddresses shouldHaveSize 2
                }
                withTargets(2) {
                    targets.all(2, Behaviour.Disconnect)
                    began(RequestKind.IDEMPOTENT) shouldBe 1
                }
            }

            it("is sent although the caller disconnects, but not if no target was reached") {
                withTargets(1) {
                    targets.all(1, Behaviour.Silence)
                    var began = 0
                    val request = request(route(RequestKind.NON_IDEMPOTENT), onRunning = { began++ })
                    withTimeoutOrNull(100.milliseconds) { live.serve(request) }
                    began shouldBe 1
                }
                withTargets(2) {
                    targets.all(2, Behaviour.Unreachable)
                    began(RequestKind.NON_IDEMPOTENT) shouldBe 0
                }
            }
        }

        describe("a repeatable call on a day on which targets fall silent without a reset") {
            it("is answered by a second target long before its deadline") {
                withTargets(2) {
                    targets.behaviours["t0:80"] = Behaviour.Silence
                    repeat(6) {
                        val begun = SystemClock.now()
                        live.serve(request(route(RequestKind.IDEMPOTENT))).shouldBeInstanceOf<LiveOutcome.Complete>()
                        (SystemClock.now() - begun < 2.seconds) shouldBe true
                    }
                }
            }
            it("is sent to a second target only after its hedge delay") {
                withTargets(2) {
                    targets.all(2, Behaviour.Silence)
                    val patient =
                        request(route(RequestKind.IDEMPOTENT), within = 300.milliseconds, hedgeDelay = 5.seconds)
                    live.serve(patient)
                    targets.requestedAddresses shouldHaveSize 1
                }
                withTargets(2) {
                    targets.all(2, Behaviour.Silence)
                    live.serve(request(route(RequestKind.IDEMPOTENT), within = 300.milliseconds))
                    targets.requestedAddresses shouldHaveSize 2
                }
            }
            // Guards against hedges and retries to a target that has announced its departure.
            it("is not sent to a target that has departed, as a hedge or after a failure") {
                listOf(Behaviour.Silence, Behaviour.Disconnect, Behaviour.Response(503, notRun = true)).forEach {
                    withTargets(2) {
                        targets.leaving += "t0:80"
                        targets.behaviours["t1:80"] = Behaviour.Unreachable
                        live.serve(request(route(RequestKind.IDEMPOTENT)))
                        targets.requestedAddresses.clear()
                        targets.behaviours["t1:80"] = it
                        live.serve(request(route(RequestKind.IDEMPOTENT), within = 300.milliseconds))
                        targets.requestedAddresses.distinct() shouldBe listOf("t1:80")
                    }
                }
            }
            it("asks no more targets than its route allows") {
                withTargets(5) {
                    targets.all(5, Behaviour.Silence)
                    val outcome = live.serve(
                        request(route(RequestKind.IDEMPOTENT, attempts = 2), within = 600.milliseconds),
                    )
                    outcome shouldBe LiveOutcome.Unknown("no answer in time", timedOut = true)
                    targets.requestedAddresses shouldHaveSize 2
                }
            }
        }

        describe("a call whose targets fail") {
            it("is answered by another target, or with the failure if all fail") {
                withTargets(2) {
                    targets.behaviours["t0:80"] = Behaviour.Response(500)
                    repeat(4) {
                        live.serve(
                            request(route(RequestKind.IDEMPOTENT)),
                        ).shouldBeInstanceOf<LiveOutcome.Complete>().status shouldBe
                            200
                    }
                    targets.all(2, Behaviour.Response(500))
                    val failed = live.serve(
                        request(route(RequestKind.IDEMPOTENT)),
                    ).shouldBeInstanceOf<LiveOutcome.Complete>()
                    failed.status shouldBe 500
                    failed.failedRuns shouldBe 2
                }
            }
            it("is said to have not run only if no target can have run it") {
                listOf(
                    Behaviour.Unreachable to true,
                    Behaviour.Response(503, notRun = true) to true,
                    Behaviour.Disconnect to false,
                    Behaviour.MismatchedResponse() to false,
                )
                    .forEach { (behaviour, notRun) ->
                        withTargets(3) {
                            targets.all(3, behaviour)
                            val outcome = live.serve(request(route(RequestKind.NON_IDEMPOTENT)))
                            (outcome is LiveOutcome.NotRun) shouldBe notRun
                            (outcome is LiveOutcome.Unknown) shouldBe !notRun
                        }
                    }
            }
            it("is never sent a second time after it may have run, if it may run once") {
                listOf(
                    Behaviour.Disconnect,
                    Behaviour.MismatchedResponse(),
                    Behaviour.Response(500),
                ).forEach { behaviour ->
                    withTargets(3) {
                        targets.all(3, behaviour)
                        live.serve(request(route(RequestKind.NON_IDEMPOTENT)))
                        targets.requestedAddresses shouldHaveSize 1
                    }
                }
            }
            // Guards against requests that run twice: the answer is lost, and a second target is asked at the deadline.
            it("is not sent to a second target when its deadline passes without an answer, if it may run once") {
                withTargets(3) {
                    targets.all(3, Behaviour.Silence)
                    val call = request(route(RequestKind.NON_IDEMPOTENT), within = 50.milliseconds)
                    withContext(EagerDispatcher) { live.serve(call) } shouldBe
                        LiveOutcome.Unknown("no answer in time", timedOut = true)
                    targets.requestedAddresses shouldHaveSize 1
                }
            }
            it("is refused at once while all targets are full") {
                withTargets(2) {
                    targets.all(2, Behaviour.Response(503, notRun = true))
                    repeat(3) { live.serve(request(route(RequestKind.IDEMPOTENT))) }
                    val sends = targets.requestedAddresses.size
                    live.serve(request(route(RequestKind.IDEMPOTENT))) shouldBe
                        LiveOutcome.NotRun("all targets are full")
                    targets.requestedAddresses shouldHaveSize sends
                }
            }
        }

        describe("any call") {
            // Guards against attempts that no answer can follow: they only keep targets busy.
            it("starts no attempt at its deadline, whatever its kind and hedge delay") {
                checkAll(10, Arb.enum<RequestKind>(), Arb.int(50..80)) { kind, hedgeMs ->
                    withTargets(3) {
                        targets.all(3, Behaviour.Silence)
                        val call = request(route(kind), within = 50.milliseconds, hedgeDelay = hedgeMs.milliseconds)
                        withContext(EagerDispatcher) { live.serve(call) }
                        targets.requestedAddresses shouldHaveSize 1
                    }
                }
            }
        }

        // Guards against an answer that is lost because it arrives in the moment in which the hedge is due.
        describe("a call whose answer and hedge coincide") {
            it("is answered, whichever comes first") {
                withTargets(1) {
                    repeat(COINCIDENCES) { at ->
                        val call = request(route(RequestKind.IDEMPOTENT), id = "c$at", hedgeDelay = 2.milliseconds)
                        targets.behaviours["t0:80"] = Behaviour.Late(2.milliseconds)
                        val slow = launch { repeat(3) { delay(1.milliseconds).also { Thread.sleep(2) } } }
                        val answer = withTimeoutOrNull(2.seconds) { live.serve(call) }
                        withClue("call $at") { answer.shouldBeInstanceOf<LiveOutcome.Complete>() }
                        slow.cancel()
                    }
                }
            }
        }

        // Guards against responses without end that exhaust the heap together, and end the work for all other callers.
        describe("calls whose targets answer without end, many at once") {
            it("end within the limit of the buffers, and small answers beside them are whole") {
                withTargets(3) {
                    targets.all(3, Behaviour.Endless(ByteArray(FLOOD_CHUNK)))
                    targets.behaviours["t2:80"] = Behaviour.Response()
                    val floods = List(FLOODS) { at ->
                        val flooded = request(route(RequestKind.NON_IDEMPOTENT), within = 20.seconds, id = "f$at")
                        async { live.serve(flooded) }
                    }
                    var most = 0L
                    val watch = launch { while (true) yield().also { most = maxOf(most, gateway.bufferedBytes) } }
                    val small = request(route(RequestKind.IDEMPOTENT, attempts = 3), within = 20.seconds, id = "small")
                    live.serve(small).shouldBeInstanceOf<LiveOutcome.Complete>()
                    floods.awaitAll().count { it is LiveOutcome.Unknown } shouldBeGreaterThan FLOODS / 2
                    watch.cancel()
                    most shouldBeLessThanOrEqualTo Runtime.getRuntime().maxMemory() / 8
                    gateway.bufferedBytes shouldBe 0
                }
            }
        }

        describe("a request at which target after target breaks off") {
            it("is refused after three targets, whoever sends it again; others go on") {
                withTargets(6) {
                    targets.all(6, Behaviour.Disconnect)
                    repeat(3) { live.serve(request(route(RequestKind.IDEMPOTENT), body = "poison", id = "p$it")) }
                    val sends = targets.requestedAddresses.size
                    live.serve(request(route(RequestKind.IDEMPOTENT), body = "poison", id = "again"))
                        .shouldBeInstanceOf<LiveOutcome.NotRun>()
                    targets.requestedAddresses shouldHaveSize sends
                    targets.all(6, Behaviour.Response())
                    live.serve(
                        request(route(RequestKind.IDEMPOTENT), body = "other"),
                    ).shouldBeInstanceOf<LiveOutcome.Complete>()
                }
            }
        }
    })
