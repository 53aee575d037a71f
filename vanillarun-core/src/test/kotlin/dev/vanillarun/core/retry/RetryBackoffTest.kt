package dev.vanillarun.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryBackoffTest :
    DescribeSpec({
        describe("the pause of work that the retry budget does not cover") {
            it("doubles with each failure up to its longest and keeps within the upper half of that") {
                checkAll(Arb.long(), Arb.int(1..40)) { seed, failures ->
                    val pause = RetryBackoff(Random(seed), first = 100.milliseconds, longest = 5.seconds).delayAfter(failures)
                    val bound = minOf(100.milliseconds * (1 shl minOf(failures - 1, 16)), 5.seconds)
                    pause shouldBeLessThanOrEqualTo bound
                    pause shouldBeGreaterThanOrEqualTo bound / 2
                }
            }

            it("spreads work that failed together") {
                val pause = RetryBackoff(Random(1))
                List(100) { pause.delayAfter(1) }.distinct() shouldHaveSize 100
            }
        }
    })
