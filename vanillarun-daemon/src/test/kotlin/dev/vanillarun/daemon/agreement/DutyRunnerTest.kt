package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.lease.DutyTable
import dev.vanillarun.core.lease.LeaseReducer
import dev.vanillarun.core.lease.LeaseTiming
import dev.vanillarun.core.log.DutyName
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.standin.log.AppendFault
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val TIMING = LeaseTiming()

private class Instance(scope: TestScope, log: MemoryLog, name: String) {
    private val clock = scope.virtualClock()
    private val appender = LogAppender(log, clock)
    private val follower: LogFollower<DutyTable> =
        LogFollower(log, setOf(StreamName.Duty), LeaseReducer, clock = clock)
    val runner = DutyRunner(
        duty = DutyName("usage"),
        follower = follower,
        appender = appender,
        writer = RecordWriter(InstanceId(name), Incarnation(name)),
        clock = clock,
        random = Random(name.hashCode()),
    )
    val job = scope.backgroundScope.launch {
        launch { appender.run() }
        launch { follower.run() }
        launch { runner.run() }
    }

    suspend fun awaitTermAndPerform(): Offset {
        runner.state.first { it.term != null }
        return runner.perform(1.seconds) { term, guard ->
            guard.permits() shouldBe true
            PlatformResult.Answered(term)
        }.shouldNotBeNull().value
    }

    private val <T> PlatformResult<T>.value get() = (this as PlatformResult.Answered<T>).value
}

class DutyRunnerTest :
    DescribeSpec({
        describe("a duty") {
            it("is taken over with a greater term after the holder was killed, once the challenge delay has passed") {
                runTest {
                    val log = MemoryLog()
                    val first = Instance(this, log, "a")
                    val term = first.awaitTermAndPerform()
                    first.job.cancel()
                    val killed = testScheduler.currentTime.milliseconds
                    val second = Instance(this, log, "b")
                    second.awaitTermAndPerform() shouldBeGreaterThan term
                    val takeoverTime = testScheduler.currentTime.milliseconds - killed
                    takeoverTime shouldBeGreaterThan TIMING.term - TIMING.renewalInterval
                    takeoverTime shouldBeLessThan TIMING.challengeDelay + TIMING.maxClaimJitter + 1.seconds
                }
            }

            it("is released immediately on a planned stop") {
                runTest {
                    val log = MemoryLog()
                    val first = Instance(this, log, "a")
                    first.awaitTermAndPerform()
                    val second = Instance(this, log, "b")
                    advanceTimeBy(1.seconds)
                    val stopped = testScheduler.currentTime.milliseconds
                    first.runner.stop()
                    first.runner.perform(1.seconds) { term, _ -> PlatformResult.Answered(term) }.shouldBeNull()
                    second.awaitTermAndPerform()
                    testScheduler.currentTime.milliseconds - stopped shouldBeLessThan TIMING.maxClaimJitter + 1.seconds
                }
            }

            it("is given up at once if it is won only after the planned stop began") {
                runTest {
                    val log = MemoryLog()
                    log.appendFault = { AppendFault.LATE }
                    val leaving = Instance(this, log, "a")
                    advanceTimeBy(1.seconds)
                    leaving.runner.stop()
                    log.appendFault = { AppendFault.NONE }
                    log.flushLate()
                    leaving.runner.state.first { it.lease.term != null }
                    val won = testScheduler.currentTime.milliseconds
                    Instance(this, log, "b").awaitTermAndPerform()
                    testScheduler.currentTime.milliseconds - won shouldBeLessThan
                        TIMING.claimRetryInterval + TIMING.maxClaimJitter + 1.seconds
                }
            }

            it("is not released while a concurrent action is in flight") {
                runTest {
                    val log = MemoryLog()
                    val first = Instance(this, log, "a")
                    first.awaitTermAndPerform()
                    val second = Instance(this, log, "b")
                    val acting = backgroundScope.launch {
                        first.runner.performConcurrently(1.seconds) { term, _ ->
                            delay(3.seconds)
                            PlatformResult.Answered(term)
                        }
                    }
                    advanceTimeBy(1.seconds)
                    first.runner.stop()
                    second.awaitTermAndPerform()
                    acting.isCompleted shouldBe true
                }
            }

            it("is kept through lost answers and not acted on through an outage that outlasts the term") {
                runTest {
                    val log = MemoryLog()
                    val only = Instance(this, log, "a")
                    val term = only.awaitTermAndPerform()
                    log.appendFault = { AppendFault.DROP_REPLY }
                    advanceTimeBy(1.minutes)
                    only.awaitTermAndPerform() shouldBe term
                    log.appendFault = { AppendFault.REFUSE }
                    advanceTimeBy(TIMING.term + 1.seconds)
                    only.runner.perform(1.seconds) { held, _ -> PlatformResult.Answered(held) }.shouldBeNull()
                    log.appendFault = { AppendFault.NONE }
                    advanceTimeBy(TIMING.renewalInterval + 1.seconds)
                    only.awaitTermAndPerform() shouldBe term
                }
            }
        }

        describe("an action whose lease lapses before its bytes leave") {
            it("is withheld by the guard") {
                runTest {
                    val log = MemoryLog()
                    val only = Instance(this, log, "a")
                    only.awaitTermAndPerform()
                    only.runner.perform(1.seconds) { _, guard ->
                        log.appendFault = { AppendFault.REFUSE }
                        advanceTimeBy(TIMING.term)
                        if (guard.permits()) PlatformResult.Answered(Unit) else PlatformResult.Withheld
                    } shouldBe PlatformResult.Withheld
                }
            }
        }
    })
