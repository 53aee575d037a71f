package dev.vanillarun.hosted.live

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.catalog.ServiceShare
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.target.ExchangeKind
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.Headers
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val Refusal = Behaviour.Response(503, notRun = true)

private fun TestScope.virtualClock() =
    MonotonicClock { Instant(testScheduler.currentTime.milliseconds.inWholeNanoseconds) }

private fun request(
    now: Instant,
    kind: RequestKind = RequestKind.IDEMPOTENT,
    within: Duration = 3.seconds,
    exchange: ExchangeKind = ExchangeKind.LIVE,
) = LiveRequest(
    id = "r1",
    method = "POST",
    uri = "/x",
    host = "h",
    headers = Headers.Empty,
    body = ByteArray(0),
    route = CatalogRoute(
        name = "r",
        host = "h",
        pathPrefix = "/",
        kind = kind,
        services = listOf(ServiceShare("desk")),
        timeout = 3.seconds,
        objective = 1.seconds,
        maxAttempts = 3,
    ),
    customer = null,
    received = now,
    deadline = now + within,
    kind = exchange,
)

class FullTargetsTest :
    DescribeSpec({
        describe("many live calls at targets that refuse them all") {
            it("are sent to further targets within a budget of retries") {
                runTest {
                    val clock = virtualClock()
                    withTargets(3, clock) {
                        repeat(3) { targets.behaviours["t$it:80"] = Refusal }
                        repeat(60) { live.serve(request(clock.now(), RequestKind.NON_IDEMPOTENT)) }
                        targets.requestedAddresses.size shouldBeLessThanOrEqualTo 60 + 60 / 10 + 10
                        live.retriesWithheld.getValue("live") shouldBeGreaterThan 0L
                    }
                }
            }
            it("are to come back within a third of the time that their callers have left") {
                runTest {
                    val clock = virtualClock()
                    withTargets(1, clock) {
                        targets.behaviours["t0:80"] = Refusal
                        live.serve(request(clock.now()))
                        listOf(30, 300, 3000).forEach { left ->
                            val call = request(clock.now(), within = left.milliseconds)
                            live.retryAfter(call) shouldBeLessThanOrEqualTo left.milliseconds / 3
                            live.retryAfter(call) shouldBeGreaterThan Duration.ZERO
                        }
                    }
                }
            }
        }
        describe("a live call while all targets are full for a moment") {
            it("waits and is served if that is a small part of its objective") {
                runTest {
                    val clock = virtualClock()
                    withTargets(1, clock) {
                        targets.behaviours["t0:80"] = Refusal
                        live.serve(request(clock.now())).shouldBeInstanceOf<LiveOutcome.NotRun>()
                        targets.behaviours["t0:80"] = Behaviour.Response()
                        live.serve(request(clock.now())).shouldBeInstanceOf<LiveOutcome.Complete>().status shouldBe 200
                    }
                }
            }
        }
        describe("a reward while all targets are full for a moment") {
            // Guards against a shortage that counts twice: by the refusal and by the backoff that follows it.
            it("waits for the end of the backoff and is sent then") {
                runTest {
                    val clock = virtualClock()
                    withTargets(1, clock) {
                        targets.behaviours["t0:80"] = Refusal
                        repeat(8) { live.serve(request(clock.now(), exchange = ExchangeKind.REWARD)) }
                        targets.requestedAddresses.size shouldBe 8
                        targets.behaviours["t0:80"] = Behaviour.Response()
                        live.serve(request(clock.now(), exchange = ExchangeKind.REWARD))
                            .shouldBeInstanceOf<LiveOutcome.Complete>()
                    }
                }
            }
        }
        describe("calls that one target refuses while others have room") {
            // Guards against refused callers after a shortage that spent the budget of retries.
            it("go on to the others, also when the budget of retries is spent") {
                runTest {
                    val clock = virtualClock()
                    withTargets(3, clock) {
                        fun all(behaviour: Behaviour) = repeat(3) { targets.behaviours["t$it:80"] = behaviour }
                        all(Refusal)
                        repeat(60) { live.serve(request(clock.now(), RequestKind.NON_IDEMPOTENT)) }
                        live.retriesWithheld.getValue("live") shouldBeGreaterThan 0L
                        all(Behaviour.Response())
                        repeat(20) { live.serve(request(clock.now())).also { delay(400.milliseconds) } }
                        targets.behaviours["t0:80"] = Refusal
                        repeat(60) {
                            live.serve(request(clock.now())).shouldBeInstanceOf<LiveOutcome.Complete>()
                            delay(400.milliseconds)
                        }
                    }
                }
            }
        }
    })
