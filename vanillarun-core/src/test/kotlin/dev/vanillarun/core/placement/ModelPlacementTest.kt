package dev.vanillarun.core.placement

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll

private val centres = listOf("rennes", "brest", "vannes").map(::DataCentre)

private fun engine(number: Int, leaving: Boolean = false) =
    Replica(TargetId("e$number"), "s", "10.0.0.$number:80", centres[number % 3], slots = 8, leaving = leaving)

private val fleets = Arb.list(Arb.element((0..20).toList()), 0..20).map { it.distinct().map { n -> engine(n) } }

class ModelPlacementTest :
    DescribeSpec({
        val models = listOf("m0", "m1", "m2")

        fun counts(placement: ModelPlacement) = models.map { placement.enginesOf(it).size }

        describe("a placement") {
            it("assigns one model to every engine, and engine counts of models that differ by at most one") {
                checkAll(fleets, fleets) { before, now ->
                    val first = placeModels(models, before, ModelPlacement())
                    val next = placeModels(models, now, first)
                    next.models.keys shouldBe now.mapTo(HashSet()) { it.id }
                    (counts(next).max() - counts(next).min() <= 1) shouldBe true
                }
            }
            it("does not change if the fleet is unchanged") {
                checkAll(fleets) { fleet ->
                    val first = placeModels(models, fleet, ModelPlacement())
                    placeModels(models, fleet.reversed(), first) shouldBe first
                }
            }
            it("reassigns at most as many engines as were lost") {
                checkAll(Arb.int(1..8)) { lost ->
                    val fleet = (0 until 9).map { engine(it) }
                    val first = placeModels(models, fleet, ModelPlacement())
                    val left = fleet.drop(lost)
                    val next = placeModels(models, left, first)
                    val moved = left.count { first.models[it.id] != next.models[it.id] }
                    (moved <= lost) shouldBe true
                }
            }
            it("spreads a model's engines over data centres") {
                val placement = placeModels(models, (0 until 9).map { engine(it) }, ModelPlacement())
                models.forEach { model ->
                    placement.enginesOf(model).map { id -> id.value.drop(1).toInt() % 3 }.toSet().size shouldBe 3
                }
            }
            it("excludes engines that are leaving") {
                placeModels(models, listOf(engine(1, leaving = true)), ModelPlacement()).models shouldBe emptyMap()
            }
        }
    })
