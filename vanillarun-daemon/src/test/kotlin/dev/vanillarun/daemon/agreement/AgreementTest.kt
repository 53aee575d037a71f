package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.config.ConfigPublisher
import dev.vanillarun.core.config.ConfigReducer
import dev.vanillarun.core.config.ConfigState
import dev.vanillarun.core.config.CurrentConfig
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.UsageReport
import dev.vanillarun.core.platform.UsageReporting
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private class Node(scope: TestScope, log: MemoryLog, name: String, reports: MutableList<UsageReport>) {
    private val inner = CoroutineScope(scope.backgroundScope.coroutineContext)
    private val reporting = UsageReporting { report, guard, _ ->
        if (guard.permits()) PlatformResult.Answered(Unit).also { reports += report } else PlatformResult.Withheld
    }
    val writer = RecordWriter(InstanceId(name), Incarnation(name))
    val config: LogFollower<ConfigState> =
        LogFollower(log, setOf(StreamName.Config), ConfigReducer, clock = scope.virtualClock())
    val agreement = Agreement(
        ports = AgreementPorts(log, reporting),
        writer = writer,
        dataCentre = DataCentre("torino"),
        config = config,
        scope = inner,
        clock = scope.virtualClock(),
        random = Random(name.hashCode()),
    )

    init {
        inner.launch { config.run() }
        agreement.start()
    }
}

class AgreementTest :
    DescribeSpec({
        fun usage() = UsageFigure(CustomerId("desk"), 1, 10, 100)

        describe("two instances") {
            it("report all usage although the reporting instance stops as planned") {
                runTest {
                    val log = MemoryLog()
                    val reports = mutableListOf<UsageReport>()
                    val nodes = listOf("a", "b").map { Node(this, log, it, reports) }
                    repeat(5) {
                        nodes.forEach { it.agreement.usage.count(usage()) }
                        advanceTimeBy(20.seconds)
                    }
                    val holder = nodes.single { node -> node.agreement.duties.single().state.value.term != null }
                    nodes.forEach { it.agreement.usage.count(usage()) }
                    holder.agreement.stop()
                    advanceTimeBy(4.minutes)
                    reports.map { it.reporter }.distinct() shouldHaveSize 2
                    reports.distinctBy { it.window }.sumOf { it.figures.single().requests } shouldBe 12
                }
            }

            it("retain the configuration beyond the log's retention time") {
                runTest {
                    val log = MemoryLog()
                    val node = Node(this, log, "a", mutableListOf())
                    val publisher = ConfigPublisher(log, node.writer)
                    val current = publisher.current().shouldBeInstanceOf<CurrentConfig.Known>()
                    publisher.publish(current, RolloutConfig(), author = "anna", message = "kept")
                    repeat(20) {
                        val seen = log.end
                        advanceTimeBy(4.minutes)
                        log.truncate(seen)
                    }
                    val late = Node(this, log, "late", mutableListOf())
                    val state = late.config.state.first { it.ready }.state
                    state.inForce?.message shouldBe "kept"
                    state.inForce?.publication shouldBe state.base
                    (log.records.first().offset > Offset.Start) shouldBe true
                }
            }
        }
    })
