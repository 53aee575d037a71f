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
import kotlin.time.Duration.Companion.milliseconds

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

        describe("the choice of an engine in a fleet of different speeds") {
            fun load(name: String, running: Int, pace: Int?, placed: Boolean = true) =
                EngineLoad(TargetId(name), slots = 8, running = running, pace = pace?.milliseconds, placed = placed)

            it("fills a fast engine before a slow one") {
                chooseEngine(listOf(load("slow", 0, 60), load("fast", 7, 25)))?.id shouldBe TargetId("fast")
            }
            it("chooses the slow engine once the fast one is full") {
                chooseEngine(listOf(load("slow", 0, 60), load("fast", 8, 25)))?.id shouldBe TargetId("slow")
            }
            it("balances load between engines of equal speed") {
                chooseEngine(listOf(load("a", 3, 30), load("b", 1, 30)))?.id shouldBe TargetId("b")
            }
            it("does not use engines of other models while the model's own have free slots") {
                chooseEngine(listOf(load("own", 7, 60), load("other", 0, 20, placed = false)))?.id shouldBe
                    TargetId("own")
            }
            it("moves a run from a degraded engine to a much faster one with a free slot") {
                val slow = load("slow", 4, 120)
                fasterEngine(slow, listOf(slow, load("fast", 3, 30)))?.id shouldBe TargetId("fast")
                fasterEngine(slow, listOf(slow, load("fast", 8, 30))) shouldBe null
                fasterEngine(slow, listOf(slow, load("near", 0, 50))) shouldBe null
                fasterEngine(slow, listOf(slow, load("unknown", 0, null))) shouldBe null
                fasterEngine(slow, listOf(slow, load("other", 0, 30, placed = false))) shouldBe null
            }
            it("chooses none if all engines are full") {
                chooseEngine(listOf(load("a", 8, 30))) shouldBe null
            }
        }
    })
