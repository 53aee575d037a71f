package dev.vanillarun.daemon

import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.config.TargetKind
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.routing.ReportIntervalPolicy
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.daemon.config.ActiveConfig
import dev.vanillarun.daemon.dispatch.LoadPoller
import dev.vanillarun.daemon.dispatch.LoadReaders
import dev.vanillarun.daemon.dispatch.TargetPool
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.daemon.target.ExchangeResult
import dev.vanillarun.daemon.target.LoadReader
import dev.vanillarun.daemon.target.TargetClient
import dev.vanillarun.daemon.target.TargetRequest
import dev.vanillarun.daemon.target.TargetResponse
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.ktor.http.Headers
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Targets that answer load reports by [load], or not at all where it gives null. */
private class Loads(private val load: () -> Int?) : TargetClient {
    var asked = 0

    override suspend fun <T> exchange(
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> {
        asked++
        val report = load() ?: return ExchangeResult.Broken("silent")
        val parts = ArrayDeque(listOf(BodyPart.Bytes("""{"in_flight":$report}""".encodeToByteArray())))
        val answer = TargetResponse(200, Headers.Empty) { parts.removeFirstOrNull() ?: BodyPart.End(clean = true) }
        return ExchangeResult.Answered(handle(answer))
    }

    override fun close(): Unit = Unit
}

private fun config(targets: Int): ActiveConfig {
    val route = RouteName("desk")
    val all = List(targets) {
        Target(TargetId("t$it"), TargetKind.SERVICE, "http://t$it", DataCentre("torino"), routes = listOf(route))
    }
    val routes = listOf(Route(route, RouteKind.SERVICE, path = "/desk"))
    return ActiveConfig(Offset(0), RolloutConfig(routes = routes, targets = all))
}

private class Polled(val kept: Loads, val fresh: Loads, val pool: TargetPool)

private suspend fun TestScope.poll(targets: Int, time: Duration, kept: () -> Int?, fresh: () -> Int?): Polled {
    val clock = MonotonicClock { Instant(testScheduler.currentTime * 1_000_000) }
    val polled = Polled(Loads(kept), Loads(fresh), TargetPool(clock).also { it.update(config(targets)) })
    val readers = LoadReaders(LoadReader(polled.kept, clock), LoadReader(polled.fresh, clock))
    val poller = LoadPoller(polled.pool, readers, clock, Random(1), ReportIntervalPolicy(500.milliseconds)) { true }
    val job = launch { poller.run() }
    advanceTimeBy(time)
    job.cancel()
    poller.asked shouldBe (polled.kept.asked + polled.fresh.asked).toLong()
    return polled
}

class LoadPollerTest :
    DescribeSpec({
        it("suspects no target for a kept connection that is silent while a new one answers") {
            runTest {
                val polled = poll(targets = 2, time = 20.seconds, kept = { null }, fresh = { 3 })
                polled.pool.all().forEach {
                    it.health.linkFailures shouldBe 0
                    it.stats.report?.running shouldBe 3
                }
            }
        }
        it("opens no further connection while the kept one answers") {
            runTest { poll(targets = 2, time = 20.seconds, kept = { 3 }, fresh = { 3 }).fresh.asked shouldBe 0 }
        }
        it("suspects a target that is silent on a new connection, too") {
            runTest {
                val polled = poll(targets = 1, time = 20.seconds, kept = { null }, fresh = { null })
                polled.pool.all().single().health.linkFailures shouldBeGreaterThan 2
            }
        }
        it("asks rarely while nothing changes and keeps many targets that change within its budget") {
            runTest {
                val quiet = poll(targets = 2, time = 40.seconds, kept = { 0 }, fresh = { 0 })
                quiet.kept.asked.toLong() shouldBeGreaterThan 2 * 8
                quiet.kept.asked shouldBeLessThan 2 * 20
                var changing = 0
                val busy = poll(targets = 16, time = 40.seconds, kept = { changing++ }, fresh = { 0 })
                busy.kept.asked shouldBeLessThan 16 * 14
            }
        }
    })
