package dev.vanillarun.core.order

import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.minutes

class TargetSizingTest :
    DescribeSpec({
        val rule = SpendingRule(RouteName("assistant"), DataCentre("torino"), floor = 2, ceiling = 12)
        val policy = SizingPolicy(shrinkAfter = 10.minutes)

        fun load(nonRepeatable: Double, repeatable: Double = 0.0, reclaimable: Int = 0) =
            TargetDemand(repeatable, nonRepeatable, reclaimable, concurrency = 16)

        fun sizes(loads: List<Double>) = loads.withIndex().runningFold(TargetSizing(rule.floor)) {
                sizing,
                (minute, load),
            ->
            sizing.adjust(load(load), rule, policy, Instant(0) + minute.minutes)
        }.drop(1)

        describe("any demand") {
            it("stays within floor and ceiling and covers the demand") {
                checkAll(Arb.list(Arb.double(0.0, 400.0), 1..60)) { loads ->
                    sizes(loads).zip(loads).forEach { (sizing, load) ->
                        sizing.desired shouldBeInRange rule.floor..rule.ceiling
                        val needed = TargetSizing.requiredTargets(load(load), policy)
                        sizing.desired shouldBeGreaterThanOrEqual minOf(needed, rule.ceiling)
                    }
                }
            }

            it("never removes a target that was required within the last ten minutes") {
                checkAll(Arb.list(Arb.double(0.0, 120.0), 11..60)) { loads ->
                    val sized = sizes(loads)
                    for (minute in 10 until loads.size) {
                        val recent = loads.subList(minute - 9, minute + 1)
                        val most = recent.maxOf { TargetSizing.requiredTargets(load(it), policy) }
                        sized[minute].desired shouldBeGreaterThanOrEqual most.coerceIn(rule.floor, rule.ceiling)
                    }
                }
            }
        }

        describe("demand that stays low") {
            it("removes targets after the shrink delay") {
                val sized = sizes(listOf(100.0) + List(30) { 30.0 })
                sized.first().desired shouldBe 9
                sized[10].desired shouldBe 9
                sized.last().desired shouldBe 3
            }
        }

        describe("work that must not be lost") {
            it("fits on the targets that stay when the reclaimable ones vanish") {
                checkAll(Arb.int(0..100), Arb.int(0..100), Arb.int(0..6)) { critical, repeatable, reclaimable ->
                    val demand = load(critical.toDouble(), repeatable.toDouble(), reclaimable)
                    val needed = TargetSizing.requiredTargets(demand, policy)
                    if (critical > 0) critical shouldBeLessThanOrEqual (needed - reclaimable) * demand.concurrency
                }
            }
        }
    })
