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

/** A platform whose targets follow each order at once; it can lose answers. */
private class Fleet :
    TargetOrdering,
    DemandSource {
    val taken = mutableListOf<TargetOrder>()
    var answers = true
    var load = 40.0
    private var targets = 6

    override suspend fun order(order: TargetOrder, guard: SendGuard, timeout: Duration): PlatformResult<Unit> {
        delay(20)
        if (!guard.permits()) return PlatformResult.Withheld
        if (taken.none { it.id == order.id }) targets = order.desired
        taken += order
        return if (answers) PlatformResult.Answered(Unit) else PlatformResult.InDoubt("lost")
    }

    override fun rules() = listOf(SpendingRule(ROUTE, DataCentre("torino"), floor = 2, ceiling = 10))

    override fun demand(route: RouteName) = TargetDemand(repeatable = load, nonRepeatable = 0.0, concurrency = 16)

    override fun targetCount(route: RouteName) = targets
}

private fun TestScope.holder(log: MemoryLog, fleet: Fleet, name: String): Job = backgroundScope.launch {
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
            it("repeat an order in doubt under its identity and shrink only after the wait") {
                runTest {
                    val fleet = Fleet().apply { answers = false }
                    holder(MemoryLog(), fleet, "a")
                    advanceTimeBy(30.seconds)
                    fleet.taken.map { it.id }.distinct().size shouldBe 1
                    fleet.answers = true
                    advanceTimeBy(9.minutes)
                    fleet.taken.map { it.desired }.distinct() shouldBe listOf(6)
                    advanceTimeBy(2.minutes)
                    fleet.taken.last().desired shouldBe 4
                }
            }

            it("go on under a greater term, from the targets that are there, after the holder was killed") {
                runTest {
                    val log = MemoryLog()
                    val fleet = Fleet().apply { load = 100.0 }
                    val first = holder(log, fleet, "a")
                    advanceTimeBy(10.seconds)
                    fleet.taken.last().desired shouldBe 9
                    first.cancel()
                    holder(log, fleet, "b")
                    fleet.load = 40.0
                    advanceTimeBy(1.minutes)
                    fleet.taken.last().desired shouldBe 9
                    fleet.taken.map { it.term }.shouldBeSorted()
                    fleet.taken.map { it.term }.distinct().size shouldBe 2
                }
            }
        }
    })
