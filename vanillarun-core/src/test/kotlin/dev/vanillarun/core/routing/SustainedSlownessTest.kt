package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.milliseconds

private val target = TargetId("t")

/** The load: targets whose machines are busy with other work for fractions of a second, and targets that degrade. */
class SustainedSlownessTest :
    DescribeSpec({
        describe("a target") {
            it("counts as slow exactly if it was so each time for a second") {
                checkAll(Arb.list(Arb.boolean(), 1..60)) { observations ->
                    val slowness = SustainedSlowness()
                    observations.forEachIndexed { n, isSlow ->
                        val lasted = observations.take(n + 1).takeLastWhile { it }.size
                        val now = Instant(0) + 100.milliseconds * n
                        slowness.observe(target, isSlow, now) shouldBe (lasted > 10)
                    }
                }
            }
            it("does not count as slow because another one is") {
                val slowness = SustainedSlowness()
                slowness.observe(target, isSlow = true, Instant(0))
                val later = Instant(0) + 2000.milliseconds
                slowness.observe(TargetId("other"), isSlow = true, later) shouldBe false
                slowness.observe(target, isSlow = true, later) shouldBe true
            }
        }
    })
