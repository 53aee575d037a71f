package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.platform.UsageReport
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.core.usage.UsageReducer
import dev.vanillarun.standin.log.AppendFault
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** A platform that stores each report but loses a third of its responses. */
private class LossyReporting(private val random: Random) : UsageReporting {
    val receivedReports = mutableListOf<UsageReport>()

    override suspend fun report(report: UsageReport, guard: SendGuard, timeout: Duration): PlatformResult<Unit> {
        delay(random.nextLong(50))
        if (!guard.permits()) return PlatformResult.Withheld
        receivedReports += report
        return if (random.nextInt(3) == 0) PlatformResult.InDoubt("lost") else PlatformResult.Answered(Unit)
    }
}

private class Reporter(scope: TestScope, log: MemoryLog, reporting: UsageReporting, name: String) {
    private val clock = scope.virtualClock()
    private val writer = RecordWriter(InstanceId(name), Incarnation(name))
    private val appender = LogAppender(log, clock)
    private val random = Random(name.hashCode())
    val contributor = UsageContributor(appender, writer, random = random)
    val job: Job = scope.backgroundScope.launch {
        val duties = LogFollower(log, setOf(StreamName.Duty), LeaseReducer, clock = clock)
        val usage = LogFollower(log, setOf(StreamName.Usage), UsageReducer, clock = clock)
        val runner = DutyRunner(DutyName("usage"), duties, appender, writer, clock = clock, random = random)
        launch { appender.run() }
        launch { duties.run() }
        launch { usage.run() }
        launch { runner.run() }
        launch { contributor.run() }
        launch { UsageDuty(runner, usage, appender, writer, reporting, clock = clock).run() }
    }
}

class UsageDutyTest :
    DescribeSpec({
        describe("usage of instances, one of which is killed while it reports") {
            it("is reported whole, each window with one set of figures, through lost answers and refusals") {
                checkAll(20, Arb.long()) { seed ->
                    runTest {
                        val random = Random(seed)
                        val log = MemoryLog()
                        log.appendFault = {
                            when (random.nextInt(8)) {
                                0 -> AppendFault.DROP_REPLY
                                1 -> AppendFault.REFUSE
                                else -> AppendFault.NONE
                            }
                        }
                        val reporting = LossyReporting(random)
                        val killed = Reporter(this, log, reporting, "a")
                        val survivor = Reporter(this, log, reporting, "b")
                        repeat(50) {
                            survivor.contributor.count(UsageFigure(CustomerId("c"), 1, 10, 100))
                            advanceTimeBy(random.nextLong(10_000))
                            if (it == 25) killed.job.cancel()
                        }
                        survivor.contributor.stop(timeout = 1.minutes) shouldBe true
                        advanceTimeBy(5.minutes)
                        val windows = reporting.receivedReports.groupBy({ it.window }, { it.figures })
                        windows.values.forEach { it.distinct() shouldHaveSize 1 }
                        val total = windows.values.sumOf { it.first().sumOf(UsageFigure::requests) }
                        total shouldBe 50
                    }
                }
            }
        }
    })
