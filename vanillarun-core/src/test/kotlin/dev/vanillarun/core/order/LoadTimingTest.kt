package dev.vanillarun.core.order

import dev.vanillarun.core.id.TargetId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val a = TargetId("a")
private val b = TargetId("b")
private val steps = Arb.list(Arb.bind(Arb.long(0L..6L), Arb.boolean()) { min, open -> ModelStep(min, open) }, 0..4)

class LoadTimingTest :
    DescribeSpec({
        describe("a trainer that starts each step directly after the previous one") {
            val versions = mapOf(a to 6L, b to 6L)
            fun timing(vararg all: ModelStep) =
                LoadTiming(newest = 7, sinceAnnouncement = 10.milliseconds, versions, all.toList())

            it("keeps the engines at their version while the new step is open") {
                timing(ModelStep(5, open = false), ModelStep(6, open = true)).dueEngines() shouldBe emptySet()
            }
            it("keeps the engines at their version between announcing weights and starting the step") {
                timing(ModelStep(5, open = false)).dueEngines() shouldBe emptySet()
            }
            it("has the newest weights loaded once the step has ended, while it trains") {
                timing(ModelStep(5, open = false), ModelStep(6, open = false)).dueEngines() shouldBe setOf(a, b)
            }
        }
        describe("engines whose version is too old for a step") {
            it("load immediately, while the others keep serving") {
                val timing = LoadTiming(7, 1.seconds, mapOf(a to 5L, b to 6L), listOf(ModelStep(6, open = true)))
                timing.dueEngines() shouldBe setOf(a)
            }
            it("load immediately even if the step has not started") {
                val timing =
                    LoadTiming(7, 10.milliseconds, mapOf(a to 5L, b to 6L), listOf(ModelStep(5, open = false)))
                timing.dueEngines() shouldBe setOf(a)
            }
        }
        it("loads the newest weights after a timeout if the trainer starts no step") {
            LoadTiming(7, 4.seconds, mapOf(a to 6L), emptyList()).dueEngines() shouldBe setOf(a)
        }
        it("never leaves an open step without an eligible engine, and never reloads a loaded version") {
            checkAll(Arb.long(1L..7L), Arb.long(0L..7L), Arb.long(0L..7L), steps) { newest, ofA, ofB, all ->
                val versions = mapOf(a to minOf(ofA, newest), b to minOf(ofB, newest))
                val due = LoadTiming(newest, 1.seconds, versions, all).dueEngines()
                due.all { versions.getValue(it) < newest } shouldBe true
                all.filter { it.open && it.minVersion <= newest }.forEach { step ->
                    (versions.any { it.value >= step.minVersion } || due.isNotEmpty()) shouldBe true
                }
            }
        }
    })
