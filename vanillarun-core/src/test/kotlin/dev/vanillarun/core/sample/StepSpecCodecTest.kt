package dev.vanillarun.core.sample

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

class StepSpecCodecTest :
    DescribeSpec({
        describe("a step in the log") {
            val spec = StepSpec("t", step = 1, "m", version = 2, groups = listOf(GroupSpec("g", "p", samples = 3)))

            // Guards against two builds with different defaults that read one step differently.
            it("has the properties that the trainer left out") {
                listOf("max_version_lag", "deadline_ms", "max_tokens", "seed").forEach {
                    StepSpecCodec.encode(spec) shouldContain "\"$it\""
                }
            }
            it("is read as it was written") { StepSpecCodec.decode(StepSpecCodec.encode(spec)) shouldBe spec }
        }
    })
