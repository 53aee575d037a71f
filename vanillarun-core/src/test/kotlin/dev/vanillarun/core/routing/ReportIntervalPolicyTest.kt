package dev.vanillarun.core.routing

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.of
import io.kotest.property.checkAll
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

class ReportIntervalPolicyTest :
    DescribeSpec({
        val policy = ReportIntervalPolicy(minInterval = 500.milliseconds)

        fun after(outcomes: List<ReportOutcome>, targetCount: Int): Duration =
            outcomes.fold(policy.minInterval) { previous, next -> policy.next(previous, next, targetCount) }

        it("stays between the bounds for any sequence of outcomes") {
            checkAll(Arb.list(Arb.enum<ReportOutcome>(), 0..20), Arb.int(0..2_000)) { outcomes, targetCount ->
                after(outcomes, targetCount) shouldBeGreaterThanOrEqualTo policy.minInterval
                after(outcomes, targetCount) shouldBeLessThanOrEqualTo policy.maxInterval
            }
        }
        it("polls a target that does not respond at the minimum interval, after any sequence of outcomes") {
            checkAll(Arb.list(Arb.enum<ReportOutcome>(), 0..20), Arb.int(0..2_000)) { outcomes, targetCount ->
                after(outcomes + ReportOutcome.NO_RESPONSE, targetCount) shouldBe policy.minInterval
            }
        }
        it("keeps the polls of all responding targets within the rate limit unless the maximum interval applies") {
            checkAll(Arb.list(Arb.of(ReportOutcome.CHANGED, ReportOutcome.UNCHANGED), 1..20), Arb.int(1..2_000)) {
                    outcomes,
                    targetCount,
                ->
                val reportsPerSecond = targetCount / after(outcomes, targetCount).toDouble(DurationUnit.SECONDS)
                val atMaxInterval = targetCount / policy.maxInterval.toDouble(DurationUnit.SECONDS)
                reportsPerSecond shouldBeLessThanOrEqual
                    maxOf(policy.maxReportsPerSecond.toDouble(), atMaxInterval) + 1e-9
            }
        }
        it("backs off while reports are unchanged and resets at the first change") {
            val quiet = List(10) { ReportOutcome.UNCHANGED }
            after(quiet, targetCount = 1) shouldBe policy.maxInterval
            after(quiet + ReportOutcome.CHANGED, targetCount = 1) shouldBe policy.minInterval
        }
        it("keeps a minimum interval that is longer than the default maximum") {
            ReportIntervalPolicy(
                minInterval = 9.seconds,
            ).next(9.seconds, ReportOutcome.UNCHANGED, targetCount = 100) shouldBe
                9.seconds
        }
    })
