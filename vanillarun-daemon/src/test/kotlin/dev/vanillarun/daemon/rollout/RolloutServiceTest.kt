package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.sample.AttemptFailure
import dev.vanillarun.core.sample.GroupSpec
import dev.vanillarun.core.sample.Sample
import dev.vanillarun.core.sample.SampleId
import dev.vanillarun.core.sample.StepKey
import dev.vanillarun.core.sample.StepSpec
import dev.vanillarun.standin.log.AppendFault
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val customer = CustomerId("wear-team")
private val step = StepSpec(
    trainer = "wear",
    step = 3,
    model = "wear",
    version = 7,
    groups = List(8) { GroupSpec(id = "g$it", prompt = "p$it", samples = 4) },
)
private val key = StepKey(customer, "wear", 3)

private fun GenerationRequest.sample(version: Long = 7) = SampleResult.Completed(
    Sample(sample, "text", 1, "stop", listOf(WeightVersion(version)), TargetId("e1"), attempt),
)

class RolloutServiceTest :
    DescribeSpec({
        describe("a step") {
            it("delivers all samples to its trainer, each once") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        val a = cluster.instance("a") { it.sample() }
                        a.submit(customer, step) shouldBe SubmissionResult.Accepted(samples = 32, recorded = true)
                        val trainer = cluster.trainer(key, listOf(a))
                        trainer.pullAll()
                        trainer.ids shouldContainExactlyInAnyOrder step.sampleIds()
                    }
                }
            }
            it("has no further effect when submitted again, and is a conflict with other content") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        val a = cluster.instance("a") { awaitCancellation() }
                        val b = cluster.instance("b") { it.sample() }
                        a.submit(customer, step)
                        b.submit(customer, step) shouldBe SubmissionResult.Accepted(samples = 32, recorded = true)
                        b.submit(customer, step.copy(version = 8)) shouldBe SubmissionResult.Conflict
                        a.submit(customer, step.copy(version = 8)) shouldBe SubmissionResult.Conflict
                        cluster.runsAt("b") shouldBe emptySet()
                    }
                }
            }
            it("is unknown to another customer") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        val a = cluster.instance("a") { it.sample() }
                        a.submit(customer, step)
                        val foreign = ForwardedPull(key.copy(customer = CustomerId("other")), "", 5, 1.seconds, 7)
                        a.pull(foreign) shouldBe PullResult.Unknown
                    }
                }
            }
            it("returns an empty delivery when the wait time of a pull expires") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        val a = cluster.instance("a") { awaitCancellation() }
                        a.submit(customer, step)
                        val empty = a.pull(ForwardedPull(key, "", 5, 200.milliseconds, 7))
                        empty.shouldBeInstanceOf<PullResult.Delivered>().delivery.samples shouldHaveSize 0
                    }
                }
            }
        }

        describe("an instance that dies with a step half delivered") {
            it("is replaced by another, and no sample is lost or delivered twice") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        val a = cluster.instance("a") { if (it.sample.index < 2) it.sample() else awaitCancellation() }
                        val b = cluster.instance("b") { it.sample() }
                        a.submit(customer, step)
                        val trainer = cluster.trainer(key, listOf(b))
                        trainer.pullUntil { it.size >= 16 }
                        cluster.kill("a")
                        trainer.pullAll()
                        trainer.ids shouldContainExactlyInAnyOrder step.sampleIds()
                    }
                }
            }
            it("that is only cut off ends its copy of the step") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        val a = cluster.instance("a") { awaitCancellation() }
                        val b = cluster.instance("b") { it.sample() }
                        a.submit(customer, step)
                        cluster.disconnect("a")
                        cluster.trainer(key, listOf(b)).pullUntil { it.isNotEmpty() }
                        cluster.runsAt("a") shouldBe setOf(key)
                        a.stopForeignSteps()
                        cluster.runsAt("a") shouldBe emptySet()
                    }
                }
            }
        }

        describe("a platform's log with faults") {
            it("loses no step to an append whose answer was lost") {
                runTest {
                    val log = MemoryLog()
                    val faults = ArrayDeque(listOf(AppendFault.DROP_REPLY))
                    log.appendFault = { faults.removeFirstOrNull() ?: AppendFault.NONE }
                    RolloutCluster(this, log).use { cluster ->
                        val a = cluster.instance("a") { it.sample() }
                        a.submit(customer, step) shouldBe SubmissionResult.Accepted(samples = 32, recorded = true)
                    }
                }
            }
            it("accepts a step during a log outage and reports that it is not recorded") {
                runTest {
                    val log = MemoryLog()
                    log.readsFail = true
                    RolloutCluster(this, log).use { cluster ->
                        val a = cluster.instance("a") { it.sample() }
                        val b = cluster.instance("b") { it.sample() }
                        a.submit(customer, step) shouldBe SubmissionResult.Accepted(samples = 32, recorded = false)
                        b.pull(ForwardedPull(key, "", 5, 1.seconds, 7)).shouldBeInstanceOf<PullResult.Unavailable>()
                        val trainer = cluster.trainer(key, listOf(a))
                        trainer.pullAll()
                        trainer.ids shouldContainExactlyInAnyOrder step.sampleIds()
                    }
                }
            }
        }

        describe("a weight swap between two pulls") {
            it("makes samples that became too old run again") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        var version = 7L
                        val a = cluster.instance("a") { it.sample(version) }
                        a.submit(customer, step)
                        delay(1.seconds)
                        version = 9
                        val trainer = cluster.trainer(key, listOf(a), version = 9)
                        trainer.pullAll()
                        trainer.samples.forEach { it.oldestVersion shouldBe WeightVersion(9) }
                        trainer.ids shouldContainExactlyInAnyOrder step.sampleIds()
                    }
                }
            }
        }

        describe("targets without free capacity") {
            it("get no attempt for the delay they give, and the step still completes") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        var refusals = 0
                        val a = cluster.instance("a") {
                            if (refusals < 40) {
                                refusals++
                                SampleResult.Failed(AttemptFailure.NoCapacity("full"), retryAfter = 2.seconds)
                            } else {
                                it.sample()
                            }
                        }
                        a.submit(customer, step)
                        val trainer = cluster.trainer(key, listOf(a))
                        trainer.pullAll()
                        trainer.ids shouldContainExactlyInAnyOrder step.sampleIds()
                    }
                }
            }
        }

        describe("a step whose deadline passes") {
            it("reports the samples that were not generated") {
                runTest {
                    RolloutCluster(this, MemoryLog()).use { cluster ->
                        val a = cluster.instance("a") { if (it.sample.index == 0) awaitCancellation() else it.sample() }
                        a.submit(customer, step.copy(deadlineMs = 5_000))
                        val trainer = cluster.trainer(key, listOf(a))
                        trainer.pullAll()
                        trainer.ids shouldHaveSize 24
                        trainer.failed shouldContainExactlyInAnyOrder List(8) { SampleId("g$it", 0) }
                    }
                }
            }
        }

        describe("any mix of slow, failing and dying instances") {
            it("delivers each sample exactly once") {
                (1..20).forEach { seed ->
                    runTest {
                        val random = Random(seed)
                        RolloutCluster(this, MemoryLog()).use { cluster ->
                            val generate: suspend (GenerationRequest) -> SampleResult = {
                                delay(random.nextInt(1, 4_000).milliseconds)
                                if (random.nextInt(5) == 0) {
                                    SampleResult.Failed(AttemptFailure.Retryable("cut", TargetId("e1")))
                                } else {
                                    it.sample()
                                }
                            }
                            val names = listOf("a", "b", "c")
                            val instances = names.map { cluster.instance(it, generate) }
                            instances[random.nextInt(3)].submit(customer, step)
                            val trainer = cluster.trainer(key, instances, responseLost = { random.nextInt(4) == 0 })
                            trainer.pullUntil { it.size >= 10 }
                            cluster.kill(names.random(random))
                            trainer.pullAll()
                            trainer.ids shouldContainExactlyInAnyOrder step.sampleIds()
                            trainer.samples.maxOf { it.attempt } shouldBeLessThanOrEqual 13
                        }
                    }
                }
            }
        }
    })
