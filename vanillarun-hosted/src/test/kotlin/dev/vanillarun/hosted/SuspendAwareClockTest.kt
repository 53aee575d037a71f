package dev.vanillarun.hosted

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.seconds

class SuspendAwareClockTest :
    DescribeSpec({
        it("counts the time of a suspension, in which only the wall clock goes on") {
            var monotonic = 0L
            var wall = 0L
            val clock = SuspendAwareClock({ monotonic }, { wall })
            val before = clock.now()
            wall += 4000
            clock.now() - before shouldBe 4.seconds
        }
        it("follows the monotonic clock when the wall clock is set back") {
            var monotonic = 0L
            var wall = 100_000L
            val clock = SuspendAwareClock({ monotonic }, { wall })
            val before = clock.now()
            monotonic += 1_000_000_000
            wall -= 50_000
            clock.now() - before shouldBe 1.seconds
        }
        it("never decreases") {
            checkAll(Arb.list(Arb.pair(Arb.int(0..1000), Arb.int(-5000..5000)), 1..50)) { steps ->
                var monotonic = 0L
                var wall = 1_000_000L
                val clock = SuspendAwareClock({ monotonic }, { wall })
                var last = clock.now()
                steps.forEach { (forward, jump) ->
                    monotonic += forward * 1_000_000L
                    wall += jump
                    clock.now() shouldBeGreaterThanOrEqualTo last
                    last = clock.now()
                }
            }
        }
    })
