package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.lease.LeaseTiming
import dev.vanillarun.core.log.AppendResult
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.NewRecord
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.PlatformLog
import dev.vanillarun.core.log.ReadResult
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val LOADS_PER_SECOND = 4

/** One instance's access to the log; while [frozen], every append and read fails. */
private class FreezableLog(private val log: MemoryLog) : PlatformLog by log {
    var frozen = false

    override suspend fun append(records: List<NewRecord>): AppendResult =
        if (frozen) AppendResult.Refused("frozen", 10.milliseconds) else log.append(records)

    override suspend fun read(streams: Set<StreamName>, from: Offset, limit: Int, wait: Duration): ReadResult {
        val result = log.read(streams, from, limit, wait)
        return if (frozen) ReadResult.Unavailable("frozen") else result
    }
}

private class Rollout(private val scope: TestScope, seed: Long, count: Int, loadMs: IntRange, rate: Int) {
    val random = Random(seed)
    val log = MemoryLog()
    val engines =
        FakeEngines(scope.backgroundScope, random, { scope.testScheduler.currentTime }, count, loadMs)
    private val policy = WeightPolicy(loadsPerSecond = rate.toDouble())
    val logs = mutableMapOf<String, FreezableLog>()
    val runners = mutableMapOf<String, DutyRunner>()
    val jobs = mutableMapOf<String, Job>()

    fun start(name: String) {
        val instanceLog = FreezableLog(log).also { logs[name] = it }
        val clock = scope.virtualClock()
        val writer = RecordWriter(InstanceId(name), Incarnation(name))
        val appender = LogAppender(instanceLog, clock)
        val leases = LogFollower(instanceLog, setOf(StreamName.Duty), LeaseReducer, clock = clock)
        val runner = DutyRunner(DutyName("weights"), leases, appender, writer, clock = clock, random = random)
        runners[name] = runner
        val ports = WeightPorts(engines, engines, { engines.targets }, policy)
        jobs[name] = scope.backgroundScope.launch {
            launch { appender.run() }
            launch { leases.run() }
            launch { runner.run() }
            launch { WeightDuty(runner, ports, writer.writer, clock = clock).run() }
        }
    }

    /** Name of the running instance that holds the lease; null if there is none. */
    fun holder(): String? = runners.entries.firstOrNull { it.value.state.value.term != null && it.key !in killed }?.key

    private val killed = mutableSetOf<String>()

    fun kill(name: String) {
        killed += name
        jobs.getValue(name).cancel()
    }

    fun publish(version: Long) {
        engines.newest = WeightVersion(version)
    }

    fun allServe(version: Long) = engines.served().all { it == WeightVersion(version) }

    /** Advances virtual time until all engines serve [version], and returns the time taken; fails after [within]. */
    fun await(version: Long, within: Duration): Duration {
        val startedAt = scope.testScheduler.currentTime
        while (!allServe(version)) {
            scope.testScheduler.currentTime - startedAt shouldBeLessThan within.inWholeMilliseconds
            scope.advanceTimeBy(10.milliseconds)
        }
        return (scope.testScheduler.currentTime - startedAt).milliseconds
    }
}

/** Maximum number of orders of one term within any one-second window. */
private fun List<ReceivedOrder>.maxPerSecond(): Int =
    maxOfOrNull { last -> count { it.term == last.term && it.atMs in last.atMs - 999..last.atMs } } ?: 0

class WeightDutyTest :
    DescribeSpec({
        describe("any roll-out with lost orders and answers, failing and slow swaps, and holders that die or stop") {
            it("ends with the newest weights everywhere, in the order of terms, within its bounds at every moment") {
                checkAll(30, Arb.long(), Arb.int(1..16)) { seed, count ->
                    runTest(timeout = 5.minutes) {
                        val fleet = Rollout(this, seed, count, loadMs = 20..9_000, rate = LOADS_PER_SECOND)
                        listOf("a", "b", "c").forEach(fleet::start)
                        fleet.engines.faults = EngineFaults(lostOrders = 10, lostResponses = 20, failedLoads = 20)
                        advanceTimeBy(fleet.random.nextInt(5_000).milliseconds)
                        fleet.publish(2)
                        advanceTimeBy(fleet.random.nextInt(20_000).milliseconds)
                        fleet.holder()?.let { if (fleet.random.nextBoolean()) fleet.kill(it) }
                        fleet.publish(3)
                        advanceTimeBy(fleet.random.nextInt(20_000).milliseconds)
                        fleet.holder()?.let { fleet.runners.getValue(it).stop() }
                        fleet.publish(4)
                        fleet.await(4, within = 5.minutes)
                        fleet.engines.maxExcess shouldBeLessThanOrEqual 0
                        fleet.engines.receivedOrders.map { it.term }.shouldBeSorted()
                        fleet.engines.receivedOrders.maxPerSecond() shouldBeLessThanOrEqual LOADS_PER_SECOND + 1
                    }
                }
            }
        }

        describe("a holder that is paused between its decision and the send, past its lease") {
            it("is withheld by the guard, at engines that check terms and at those that do not") {
                runTest {
                    val fleet = Rollout(this, seed = 1, count = 6, loadMs = 20..40, rate = 100)
                    fleet.start("a")
                    advanceTimeBy(15.seconds)
                    fleet.start("b")
                    val pause = LeaseTiming().challengeDelay + LeaseTiming().maxClaimJitter + 15.seconds
                    fleet.engines.beforeGuard = { order ->
                        if (order.issuer == InstanceId("a")) {
                            fleet.logs.getValue("a").frozen = true
                            delay(pause)
                        }
                    }
                    fleet.publish(2)
                    fleet.await(2, within = pause)
                    fleet.engines.receivedOrders.map { it.term }.distinct().size shouldBe 1
                    advanceTimeBy(pause)
                    fleet.engines.receivedOrders.map { it.term }.distinct().size shouldBe 1
                    fleet.engines.withheldCount shouldBeGreaterThan 0
                }
            }
        }

        describe("a new holder") {
            it("waits for the loads that the previous holder may have started") {
                runTest {
                    val fleet = Rollout(this, seed = 1, count = 6, loadMs = 8_000..9_000, rate = 100)
                    listOf("a", "b").forEach(fleet::start)
                    advanceTimeBy(5.seconds)
                    fleet.engines.faults = EngineFaults(failedLoads = 100)
                    fleet.publish(2)
                    advanceTimeBy(9.seconds + 900.milliseconds)
                    fleet.engines.faults = EngineFaults()
                    advanceTimeBy(2.seconds)
                    fleet.engines.receivedOrders.map { it.target }.distinct().size shouldBe 6
                    fleet.holder()?.let { fleet.runners.getValue(it).stop() }
                    fleet.await(2, within = 1.minutes)
                    fleet.engines.receivedOrders.map { it.term }.distinct().size shouldBe 2
                    fleet.engines.maxExcess shouldBeLessThanOrEqual 0
                }
            }
        }

        describe("an order whose response is lost") {
            it("is read back and not sent again") {
                runTest {
                    val fleet = Rollout(this, seed = 1, count = 4, loadMs = 20..40, rate = 100)
                    fleet.start("a")
                    advanceTimeBy(5.seconds)
                    fleet.engines.faults = EngineFaults(lostResponses = 100)
                    fleet.publish(2)
                    fleet.await(2, within = 5.seconds)
                    advanceTimeBy(1.minutes)
                    fleet.engines.receivedOrders.size shouldBe 4
                }
            }
        }
    })
