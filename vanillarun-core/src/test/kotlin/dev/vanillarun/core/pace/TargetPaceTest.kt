package dev.vanillarun.core.pace

import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.math.ceil
import kotlin.math.log2
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Instant(0)

class TargetPaceTest :
    DescribeSpec({
        // Load: more work waits than a target has slots, when it has just started.
        describe("a target that answers well") {
            it("has all of its slots after log2 of their number, and one more, rounds") {
                checkAll(Arb.int(1..256)) { slots ->
                    var pace = TargetPace(slots)
                    var rounds = 0
                    while (!pace.ended) {
                        repeat(pace.limit) { pace = pace.answered(isSlow = false) }
                        rounds++
                    }
                    rounds shouldBeLessThanOrEqual ceil(log2(slots.toDouble())).toInt() + 1
                }
            }
            it("is never left without a request while work waits, however slow its answers are") {
                checkAll(Arb.int(1..16), Arb.list(Arb.int(0..1), 0..60)) { slots, answers ->
                    var pace = TargetPace(slots)
                    answers.forEach {
                        pace.allows(0, start) shouldBe true
                        pace = pace.answered(isSlow = it == 1)
                    }
                }
            }
            it("gets one request more after a round with a slow answer, not twice as many") {
                TargetPace(8).answered(isSlow = false).answered(isSlow = true).answered(isSlow = false).limit shouldBe 3
            }
        }
        // Load: several items are placed at one moment on a target in slow start.
        it("has room for as many requests as pass one after the other") {
            checkAll(Arb.int(2..16), Arb.int(0..20)) { slots, answers ->
                var pace: TargetPace = TargetPace(slots)
                repeat(answers) { pace = pace.answered(isSlow = true) }
                val question = PaceQuestion(PaceRules(slowStart = true), { true }, isControl = false, start)
                var target = PacedTarget(startedAt = 1).paced(pace)
                val room = minOf(target.room(question), slots + 1)
                var sent = 0
                while (sent <= slots && target.refusal(question) == null) {
                    target = target.permitted(isControl = false, start)
                    sent++
                }
                sent shouldBe room
            }
        }
        // Load: a target that is overloaded or broken, before a queue that never ends.
        describe("a target that refuses everything") {
            it("gets one probe at a time, and at most a stated number of them") {
                var pace = TargetPace(slots = 8)
                var probes = 0
                repeat(10_000) { millis ->
                    val now = start + millis.milliseconds
                    if (pace.allows(0, now)) {
                        probes++
                        pace.allows(1, now) shouldBe false
                        pace = pace.refused(now)
                    }
                }
                probes shouldBeGreaterThan 9
                probes shouldBeLessThanOrEqual 16
            }
            it("is tried again within the longest interval, whatever it did before") {
                checkAll(Arb.list(Arb.int(0..3), 1..60)) { results ->
                    var pace = TargetPace(slots = 64)
                    results.forEach {
                        pace = when (it) {
                            0 -> pace.answered(isSlow = false)
                            1 -> pace.answered(isSlow = true)
                            2 -> pace.refused(start)
                            else -> pace.failed(start)
                        }
                        pace.allows(0, start + TargetPace.MaxProbeInterval) shouldBe true
                    }
                }
            }
            it("is halved by a refusal") {
                TargetPace(slots = 16, limit = 8).refused(start).limit shouldBe 4
            }
        }
        describe("what an instance knows of a cold target") {
            val now = start + 60.seconds
            it("is that it stays cold for as long as its answers say, and never shorter than heard before") {
                val cold = ColdState().answered(3.seconds, 3.seconds, now).answered(1.seconds, 3.seconds, now)
                cold.isCold(now + 3.seconds) shouldBe true
                cold.isCold(now + 4.seconds) shouldBe false
            }
            it("is that it may be cold from a failure until it has answered for as long as it is cold after a start") {
                val failed = ColdState().failed(now)
                failed.isCold(now + 60.seconds) shouldBe true
                val answered = failed.answered(coldFor = null, duration = 3.seconds, now + 60.seconds)
                answered.isCold(now + 63.seconds) shouldBe true
                answered.isCold(now + 64.seconds) shouldBe false
            }
            it("does not become warm by an announcement that may be from before its failure") {
                val failed = ColdState().failed(now)
                fun announced(at: Instant) = failed.announced(0.seconds, at, 3.seconds, now + 9.seconds)
                announced(now + 1.seconds).isCold(now + 9.seconds) shouldBe true
                announced(now + 3.seconds).isCold(now + 9.seconds) shouldBe false
            }
        }
    })
