package dev.vanillarun.core.order

import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private val start = Instant(0)
private val startup = 7.seconds

class PlacedOrderTest :
    DescribeSpec({
        describe("an order for targets") {
            val placed = PlacedOrder(desired = 3, at = start)

            it("is due if none was placed, and if another number is wanted") {
                (null as PlacedOrder?).isDue(3, present = 2, start, startup) shouldBe true
                placed.isDue(4, present = 0, start + 1.seconds, startup) shouldBe true
            }
            it("is not due while the number is there, nor while its targets start") {
                (null as PlacedOrder?).isDue(3, present = 3, start, startup) shouldBe false
                placed.isDue(3, present = 1, start + 6.seconds, startup) shouldBe false
            }
            it("is repeated if its targets do not come") {
                placed.isDue(3, present = 1, start + 7.seconds, startup) shouldBe true
            }
            it("is repeated at once if targets were taken away after they had come") {
                placed.withPresent(3).isDue(3, present = 0, start + 5.seconds, startup) shouldBe true
                placed.withPresent(2).isDue(3, present = 0, start + 5.seconds, startup) shouldBe false
            }
        }
    })
