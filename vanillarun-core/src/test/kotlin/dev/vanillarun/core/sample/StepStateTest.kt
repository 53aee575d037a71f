package dev.vanillarun.core.sample

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

class StepStateTest :
    DescribeSpec({
        val spec = stepSpec(groups = 4, samples = 3)

        describe("starting attempts") {
            it("starts waiting samples in order, group by group") {
                val transition = StepState.of(spec).start(limit = 4, now = at(0))
                transition.start.map(AttemptId::ordinal) shouldContainExactly listOf(0, 1, 2, 3)
                transition.state.waiting.shouldHaveSize(8)
            }
            it("skips samples that the trainer holds") {
                val held = HeldSamples.none(spec).with(0..9)
                val started = StepState.of(spec, held).start(limit = 100, now = at(0)).start
                started.map(AttemptId::ordinal) shouldContainExactly listOf(10, 11)
            }
        }

        describe("an attempt that finds no capacity") {
            it("does not count as a failure of the sample") {
                val end =
                    (1..MAX_FAILED_ATTEMPTS * 2).fold(StepState.of(spec)) { state, second ->
                        val started = state.start(limit = 1, now = at(second))
                        val failure = AttemptFailure.NoCapacity("full")
                        started.state.attemptFailed(started.start.single(), failure).state
                    }
                end.failed.isEmpty() shouldBe true
                end.waiting.shouldHaveSize(spec.size)
            }
        }

        describe("an attempt that fails") {
            it("adds its target to those to avoid") {
                val started = StepState.of(spec).start(limit = 1, now = at(0))
                val failure = AttemptFailure.Retryable("crashed", TargetId("e9"))
                val after = started.state.attemptFailed(started.start.single(), failure).state
                after.avoided[0] shouldBe setOf(TargetId("e9"))
            }
            it("is not retried before its backoff ends, while other samples are started") {
                val started = StepState.of(spec).start(limit = 1, now = at(0))
                val cut = AttemptFailure.Retryable("cut")
                val paused = started.state.attemptFailed(started.start.single(), cut, retryAt = at(5)).state
                paused.start(limit = 100, now = at(4)).start.map(AttemptId::ordinal) shouldContainExactly
                    (1..11).toList()
                paused.start(limit = 100, now = at(5)).start.map(AttemptId::ordinal).toSet() shouldBe (0..11).toSet()
            }
            it("does not count as a failure when nothing ran, however often") {
                val one = stepSpec(groups = 1, samples = 1)
                val refused = AttemptFailure.Retryable("refused", countsAsFailure = false)
                val end = (1..10 * MAX_FAILED_ATTEMPTS).fold(StepState.of(one)) { state, second ->
                    val started = state.start(limit = 1, now = at(second))
                    started.state.attemptFailed(started.start.single(), refused).state
                }
                end.waiting shouldContainExactly setOf(0)
                end.failed.keys.shouldBeEmpty()
            }
            it("makes the sample fail permanently after $MAX_FAILED_ATTEMPTS failures, which the next pull reports") {
                val one = stepSpec(groups = 1, samples = 1)
                val end =
                    (1..MAX_FAILED_ATTEMPTS).fold(StepState.of(one)) { state, second ->
                        val started = state.start(limit = 1, now = at(second))
                        started.state.attemptFailed(started.start.single(), AttemptFailure.Retryable("crashed")).state
                    }
                end.failed shouldContainKey 0
                end.done shouldBe true
                val delivery = end.pull(HeldSamples.none(one), WeightVersion(10), limit = 5).delivery
                delivery.failed shouldContainExactly listOf(SampleId("g0", 0) to "crashed")
                delivery.remaining shouldBe 0
            }
        }

        describe("a slow attempt") {
            val policy = HedgePolicy(minCompletedPercent = 10, budgetPercent = 10)
            val started = StepState.of(spec).start(limit = 100, now = at(0))
            val fast =
                started.start.drop(1).fold(started.state) { state, attempt ->
                    state.attemptCompleted(attempt, spec.sampleAt(attempt, listOf(10)), now = at(2)).state
                }

            it("is hedged within the budget") {
                fast.hedge(policy, limit = 8, now = at(3)).start.shouldBeEmpty()
                val hedged = fast.hedge(policy, limit = 8, now = at(9))
                hedged.start shouldContainExactly listOf(AttemptId(0, 2))
                hedged.state.hedge(policy, limit = 8, now = at(20)).start.shouldBeEmpty()
            }
            it("is cancelled when its hedge completes first, and a late sample changes nothing") {
                val hedged = fast.hedge(policy, limit = 8, now = at(9))
                val winner = hedged.start.single()
                val won = hedged.state.attemptCompleted(winner, spec.sampleAt(winner, listOf(10)), now = at(10))
                won.cancel shouldContainExactly listOf(AttemptId(0, 1))
                val late =
                    won.state.attemptCompleted(AttemptId(0, 1), spec.sampleAt(AttemptId(0, 1), listOf(9)), now = at(30))
                late.state shouldBe won.state
            }
        }

        describe("age") {
            it("is judged by the oldest version in a sample") {
                val started = StepState.of(spec).start(limit = 1, now = at(0))
                val attempt = started.start.single()
                val old =
                    started.state.attemptCompleted(attempt, spec.sampleAt(attempt, listOf(8, 10)), now = at(1)).state
                old.ready.isEmpty() shouldBe true
                old.counters.stale shouldBe 1
                (0 in old.waiting) shouldBe true
            }
            it("is checked again at delivery, against the trainer's own version") {
                val started = StepState.of(spec).start(limit = 1, now = at(0))
                val attempt = started.start.single()
                val ready =
                    started.state.attemptCompleted(attempt, spec.sampleAt(attempt, listOf(10)), now = at(1)).state
                ready.pull(HeldSamples.none(spec), WeightVersion(11), limit = 5).delivery.samples.shouldHaveSize(1)
                val late = ready.pull(HeldSamples.none(spec), WeightVersion(12), limit = 5)
                late.delivery.samples.shouldBeEmpty()
                (0 in late.state.waiting) shouldBe true
            }
        }

        describe("a pull") {
            it("delivers the samples of a lost response again") {
                val started = StepState.of(spec).start(limit = 2, now = at(0))
                val ready =
                    started.start.fold(started.state) { state, attempt ->
                        state.attemptCompleted(attempt, spec.sampleAt(attempt, listOf(10)), now = at(1)).state
                    }
                val first = ready.pull(HeldSamples.none(spec), WeightVersion(10), limit = 5)
                val again = first.state.pull(HeldSamples.none(spec), WeightVersion(10), limit = 5)
                again.delivery.samples shouldBe first.delivery.samples
                again.state.pull(first.delivery.held, WeightVersion(10), limit = 5).delivery.samples.shouldBeEmpty()
            }
            it("restarts samples that the trainer has lost") {
                val started = StepState.of(spec).start(limit = 1, now = at(0))
                val attempt = started.start.single()
                val ready =
                    started.state.attemptCompleted(attempt, spec.sampleAt(attempt, listOf(10)), now = at(1)).state
                val held = ready.pull(HeldSamples.none(spec), WeightVersion(10), limit = 5).delivery.held
                val confirmed = ready.pull(held, WeightVersion(10), limit = 5).state
                val restarted = confirmed.pull(HeldSamples.none(spec), WeightVersion(10), limit = 5).state
                (0 in restarted.waiting) shouldBe true
            }
        }

        describe("any history of tries, failures, swaps, lost answers and replaced instances") {
            it("gives the trainer each sample exactly once, none too old, and ends") {
                checkAll(iterations = 300, Arb.long()) { seed ->
                    val trainer = StepHistory(stepSpec(groups = 3, samples = 4), Random(seed)).run()
                    withClue("seed $seed") {
                        trainer.accepted.map(Sample::id).groupingBy { it }.eachCount().values.toSet() shouldBe setOf(1)
                        trainer.accepted.shouldHaveSize(12)
                        trainer.accepted.zip(trainer.versionsAtDelivery).forEach { (sample, version) ->
                            sample.oldestVersion.number shouldBeGreaterThanOrEqual version - 1
                        }
                    }
                }
            }
        }
    })
