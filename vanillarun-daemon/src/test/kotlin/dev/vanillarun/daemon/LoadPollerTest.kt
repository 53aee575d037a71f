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
import dev.vanillarun.daemon.target.ResponseBody
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

/** Responds to load requests with the value of [load], and fails the exchange if it is null. */
private class LoadReportClient(private val load: () -> Int?) : TargetClient {
    var requests = 0

    override suspend fun <T> exchange(
        request: TargetRequest,
        handle: suspend (TargetResponse) -> T,
    ): ExchangeResult<T> {
        requests++
        val report = load() ?: return ExchangeResult.Broken("silent")
        val parts = ArrayDeque(listOf(BodyPart.Bytes("""{"in_flight":$report}""".encodeToByteArray())))
        val body = ResponseBody { parts.removeFirstOrNull() ?: BodyPart.End(clean = true) }
        val answer = TargetResponse(200, Headers.Empty, body)
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

private class PollerRun(val kept: LoadReportClient, val fresh: LoadReportClient, val pool: TargetPool)

private suspend fun TestScope.poll(targets: Int, time: Duration, kept: () -> Int?, fresh: () -> Int?): PollerRun {
    val clock = MonotonicClock { Instant(testScheduler.currentTime * 1_000_000) }
    val pollerRun =
        PollerRun(
            LoadReportClient(kept),
            LoadReportClient(fresh),
            TargetPool(clock).also {
                it.update(config(targets))
            },
        )
    val readers = LoadReaders(LoadReader(pollerRun.kept, clock), LoadReader(pollerRun.fresh, clock))
    val poller = LoadPoller(pollerRun.pool, readers, clock, Random(1), ReportIntervalPolicy(500.milliseconds)) { true }
    val job = launch { poller.run() }
    advanceTimeBy(time)
    job.cancel()
    poller.asked shouldBe (pollerRun.kept.requests + pollerRun.fresh.requests).toLong()
    return pollerRun
}

class LoadPollerTest :
    DescribeSpec({
        it("suspects no target whose pooled connection is silent while a new one responds") {
            runTest {
                val pollerRun = poll(targets = 2, time = 20.seconds, kept = { null }, fresh = { 3 })
                pollerRun.pool.all().forEach {
                    it.health.linkFailures shouldBe 0
                    it.stats.report?.running shouldBe 3
                }
            }
        }
        it("opens no further connection while the pooled one responds") {
            runTest { poll(targets = 2, time = 20.seconds, kept = { 3 }, fresh = { 3 }).fresh.requests shouldBe 0 }
        }
        it("suspects a target that is also silent on a new connection") {
            runTest {
                val pollerRun = poll(targets = 1, time = 20.seconds, kept = { null }, fresh = { null })
                pollerRun.pool.all().single().health.linkFailures shouldBeGreaterThan 2
            }
        }
        it("polls rarely while nothing changes and limits the polls of many changing targets") {
            runTest {
                val quiet = poll(targets = 2, time = 40.seconds, kept = { 0 }, fresh = { 0 })
                quiet.kept.requests.toLong() shouldBeGreaterThan 2 * 8
                quiet.kept.requests shouldBeLessThan 2 * 20
                var changing = 0
                val busy = poll(targets = 16, time = 40.seconds, kept = { changing++ }, fresh = { 0 })
                busy.kept.requests shouldBeLessThan 16 * 14
            }
        }
    })
