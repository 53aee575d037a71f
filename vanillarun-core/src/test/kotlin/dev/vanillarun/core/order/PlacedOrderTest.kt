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

            it("is due if none has been accepted or if a different number is desired") {
                (null as PlacedOrder?).isDue(3, present = 2, start, startup) shouldBe true
                placed.isDue(4, present = 0, start + 1.seconds, startup) shouldBe true
            }
            it("is not due if the number is present, nor while the targets start") {
                (null as PlacedOrder?).isDue(3, present = 3, start, startup) shouldBe false
                placed.isDue(3, present = 1, start + 6.seconds, startup) shouldBe false
            }
            it("is repeated if the targets do not appear within the startup time") {
                placed.isDue(3, present = 1, start + 7.seconds, startup) shouldBe true
            }
            it("is repeated immediately if targets are lost after the order was fulfilled") {
                placed.withPresent(3).isDue(3, present = 0, start + 5.seconds, startup) shouldBe true
                placed.withPresent(2).isDue(3, present = 0, start + 5.seconds, startup) shouldBe false
            }
        }
    })
