package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.order.TargetDemand
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.platform.TargetOrder
import dev.vanillarun.core.platform.TargetOrdering
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val ROUTE = RouteName("assistant")

/** A platform that applies each order at once; while [responds] is false, it loses its responses. */
private class FakeFleet :
    TargetOrdering,
    DemandSource {
    val receivedOrders = mutableListOf<TargetOrder>()
    var responds = true
    var load = 40.0
    private var targets = 6

    override suspend fun order(order: TargetOrder, guard: SendGuard, timeout: Duration): PlatformResult<Unit> {
        delay(20)
        if (!guard.permits()) return PlatformResult.Withheld
        if (receivedOrders.none { it.id == order.id }) targets = order.desired
        receivedOrders += order
        return if (responds) PlatformResult.Answered(Unit) else PlatformResult.InDoubt("lost")
    }

    override fun rules() = listOf(SpendingRule(ROUTE, DataCentre("torino"), floor = 2, ceiling = 10))

    override fun demand(route: RouteName) = TargetDemand(repeatable = load, nonRepeatable = 0.0, concurrency = 16)

    override fun targetCount(route: RouteName) = targets
}

private fun TestScope.startHolder(log: MemoryLog, fleet: FakeFleet, name: String): Job = backgroundScope.launch {
    val clock = virtualClock()
    val writer = RecordWriter(InstanceId(name), Incarnation(name))
    val appender = LogAppender(log, clock)
    val duties = LogFollower(log, setOf(StreamName.Duty), LeaseReducer, clock = clock)
    val runner = DutyRunner(DutyName("orders/torino"), duties, appender, writer, clock = clock, random = Random(1))
    launch { appender.run() }
    launch { duties.run() }
    launch { runner.run() }
    launch { TargetOrderDuty(runner, fleet, fleet, writer.writer, clock = clock).run() }
}

class TargetOrderDutyTest :
    DescribeSpec({
        describe("target orders") {
            it("retry an order in doubt under the same id and shrink only after the delay") {
                runTest {
                    val fleet = FakeFleet().apply { responds = false }
                    startHolder(MemoryLog(), fleet, "a")
                    advanceTimeBy(30.seconds)
                    fleet.receivedOrders.map { it.id }.distinct().size shouldBe 1
                    fleet.responds = true
                    advanceTimeBy(9.minutes)
                    fleet.receivedOrders.map { it.desired }.distinct() shouldBe listOf(6)
                    advanceTimeBy(2.minutes)
                    fleet.receivedOrders.last().desired shouldBe 4
                }
            }

            it("continue with a greater term from the current target count after the holder was killed") {
                runTest {
                    val log = MemoryLog()
                    val fleet = FakeFleet().apply { load = 100.0 }
                    val first = startHolder(log, fleet, "a")
                    advanceTimeBy(10.seconds)
                    fleet.receivedOrders.last().desired shouldBe 9
                    first.cancel()
                    startHolder(log, fleet, "b")
                    fleet.load = 40.0
                    advanceTimeBy(1.minutes)
                    fleet.receivedOrders.last().desired shouldBe 9
                    fleet.receivedOrders.map { it.term }.shouldBeSorted()
                    fleet.receivedOrders.map { it.term }.distinct().size shouldBe 2
                }
            }
        }
    })
