package dev.vanillarun.core.reclaim

import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll

class ReclaimBoundTest :
    DescribeSpec({
        describe("the bound on requests on reclaimable targets") {
            it("lets the remaining targets absorb the loss of all reclaimable targets of any one data centre") {
                val zones = listOf("rennes", "brest", "vannes").map { DataCentre(it) }
                checkAll(Arb.list(Arb.int(0..40), 6..6), Arb.list(Arb.pair(Arb.int(0..2), Arb.boolean()), 0..80)) {
                        sizes,
                        steps,
                    ->
                    val bound = ReclaimBound()
                    var groups =
                        sizes.mapIndexed { i, size -> CapacityGroup(zones[i % 3], reclaimable = i >= 3, size, 0) }
                    steps.forEach { (zone, onReclaimable) ->
                        val free = groups.first { it.dataCentre == zones[zone] && it.reclaimable == onReclaimable }
                        val next = groups.map { if (it == free) it.copy(inProgress = it.inProgress + 1) else it }
                        val fits = free.inProgress < free.capacity
                        if (fits && bound.isSatisfiedBy(next)) groups = next
                    }
                    zones.forEach { lost ->
                        val (lostGroups, rest) = groups.partition { it.reclaimable && it.dataCentre == lost }
                        lostGroups.sumOf { it.inProgress } shouldBeLessThanOrEqual
                            rest.sumOf { it.capacity - it.inProgress }
                    }
                }
            }
        }
    })
