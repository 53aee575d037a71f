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
        val pace = ReportIntervalPolicy(minInterval = 500.milliseconds)

        fun after(news: List<ReportOutcome>, share: Int): Duration =
            news.fold(pace.minInterval) { previous, next -> pace.next(previous, next, share) }

        it("stays between its bounds whatever the reports say") {
            checkAll(Arb.list(Arb.enum<ReportOutcome>(), 0..20), Arb.int(0..2_000)) { news, share ->
                after(news, share) shouldBeGreaterThanOrEqualTo pace.minInterval
                after(news, share) shouldBeLessThanOrEqualTo pace.longest
            }
        }
        it("asks a silent target at the shortest interval, whatever came before") {
            checkAll(Arb.list(Arb.enum<ReportOutcome>(), 0..20), Arb.int(0..2_000)) { news, share ->
                after(news + ReportOutcome.NO_RESPONSE, share) shouldBe pace.minInterval
            }
        }
        it("keeps the reports of all answering targets within the budget until the longest interval binds") {
            checkAll(Arb.list(Arb.of(ReportOutcome.CHANGED, ReportOutcome.UNCHANGED), 1..20), Arb.int(1..2_000)) { news, share ->
                val perSecond = share / after(news, share).toDouble(DurationUnit.SECONDS)
                val atLongest = share / pace.longest.toDouble(DurationUnit.SECONDS)
                perSecond shouldBeLessThanOrEqual maxOf(pace.perSecond.toDouble(), atLongest) + 1e-9
            }
        }
        it("slows down while nothing changes and comes back at the first change") {
            val quiet = List(10) { ReportOutcome.UNCHANGED }
            after(quiet, share = 1) shouldBe pace.longest
            after(quiet + ReportOutcome.CHANGED, share = 1) shouldBe pace.minInterval
        }
        it("never asks more often than a setting above the longest interval says") {
            ReportIntervalPolicy(minInterval = 9.seconds).next(9.seconds, ReportOutcome.UNCHANGED, share = 100) shouldBe 9.seconds
        }
    })
