package dev.vanillarun.core.sample

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll

class HeldSamplesTest :
    DescribeSpec({
        val spec = stepSpec(groups = 16, samples = 8)

        describe("a cursor") {
            it("survives a round trip") {
                checkAll(Arb.list(Arb.int(0 until spec.size), 0..spec.size * 2).map { it.toSet() }) { ordinals ->
                    val held = HeldSamples.none(spec).with(ordinals)
                    HeldSamples.parse(held.cursor(), spec) shouldBe HeldSamples.Parse.Parsed(held)
                    held.count shouldBe ordinals.size
                    held.missing().toSet() shouldBe (0 until spec.size).toSet() - ordinals
                }
            }
            it("names no sample when it is empty") {
                HeldSamples.parse("", spec) shouldBe HeldSamples.Parse.Parsed(HeldSamples.none(spec))
            }
            it("of another step is invalid") {
                val other = HeldSamples.none(spec.copy(step = spec.step + 1)).with(listOf(1))
                HeldSamples.parse(other.cursor(), spec).shouldBeInstanceOf<HeldSamples.Parse.Invalid>()
            }
            it("with an ordinal outside the step is invalid") {
                val wide = stepSpec(groups = 16, samples = 8)
                val damaged = "${wide.fingerprint()}.${"_".repeat(64)}"
                HeldSamples.parse(damaged, spec).shouldBeInstanceOf<HeldSamples.Parse.Invalid>()
            }
            it("of arbitrary text is invalid and throws nothing") {
                checkAll(Arb.string(1..40)) { text ->
                    HeldSamples.parse(text, spec).shouldBeInstanceOf<HeldSamples.Parse.Invalid>()
                }
            }
        }
    })
