package dev.vanillarun.core.order

import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

private fun fleet(name: String, otherTargets: Int, price: Double = 1.0, present: Int = 0, soldOut: Boolean = false) =
    DataCentreFleet(DataCentre(name), otherTargets, present, ceiling = 6, price = price, soldOut = soldOut)

private val fleetEntries = Arb.list(
    Arb.bind(Arb.int(0..4), Arb.int(0..4), Arb.int(1..6), Arb.boolean()) { otherTargets, present, ceiling, soldOut ->
        DataCentreFleet(DataCentre("x"), otherTargets, present, ceiling = ceiling, price = 1.0, soldOut = soldOut)
    },
    1..5,
)

class DataCentreFleetTest :
    DescribeSpec({
        describe("a step that needs twice the on-demand targets") {
            it("spreads reclaimable targets evenly over the data centres") {
                val fleets = listOf(fleet("a", 2), fleet("b", 2), fleet("c", 2))
                spreadTargets(12, fleets).values.toList() shouldBe listOf(2, 2, 2)
            }
            it("adds the odd target in the cheapest data centre") {
                val fleets = listOf(fleet("a", 2, price = 1.2), fleet("b", 2, price = 0.8))
                spreadTargets(5, fleets) shouldBe mapOf(DataCentre("a") to 0, DataCentre("b") to 1)
            }
        }
        describe("a data centre whose reclaimable targets were reclaimed") {
            it("is compensated for in other data centres while it is sold out") {
                val fleets =
                    listOf(fleet("a", 2, soldOut = true), fleet("b", 2, present = 2), fleet("c", 2, present = 2))
                spreadTargets(12, fleets).values.toList() shouldBe listOf(0, 3, 3)
            }
        }
        describe("a service that has on-demand targets only") {
            it("does not move pinned targets when the fleet grows") {
                val fleets =
                    listOf(
                        fleet("a", 0).copy(present = 4, pinnedTargets = 4),
                        fleet("b", 0).copy(present = 1, pinnedTargets = 1),
                    )
                spreadTargets(7, fleets).values.toList() shouldBe listOf(4, 3)
            }
        }
        describe("any fleet") {
            it("respects ceilings, orders no more than is missing, and keeps the number of sold-out targets") {
                checkAll(fleetEntries, Arb.int(0..30)) { drawn, wanted ->
                    val fleets = drawn.mapIndexed { i, entry -> entry.copy(dataCentre = DataCentre("z$i")) }
                    val spread = spreadTargets(wanted, fleets)
                    spread.keys shouldBe fleets.mapTo(HashSet()) { it.dataCentre }
                    fleets.forEach {
                        val ordered = spread.getValue(it.dataCentre)
                        if (it.soldOut) ordered shouldBe it.present
                        if (!it.soldOut && ordered > 0) (ordered + it.otherTargets) shouldBeLessThanOrEqual it.ceiling
                    }
                    val open = fleets.filter { !it.soldOut }.sumOf { spread.getValue(it.dataCentre) }
                    val rest = fleets.sumOf { it.otherTargets } + fleets.filter { it.soldOut }.sumOf { it.present }
                    open shouldBeLessThanOrEqual maxOf(0, wanted - rest)
                }
            }
        }
    })
