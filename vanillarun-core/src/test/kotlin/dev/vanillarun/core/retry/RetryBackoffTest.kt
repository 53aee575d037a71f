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
        describe("the backoff of work that the retry budget does not cover") {
            it("doubles with each failure up to the maximum, and stays in the upper half of the bound") {
                checkAll(Arb.long(), Arb.int(1..40)) { seed, failures ->
                    val backoff = RetryBackoff(
                        Random(seed),
                        initialDelay = 100.milliseconds,
                        maxDelay = 5.seconds,
                    ).delayAfter(failures)
                    val bound = minOf(100.milliseconds * (1 shl minOf(failures - 1, 16)), 5.seconds)
                    backoff shouldBeLessThanOrEqualTo bound
                    backoff shouldBeGreaterThanOrEqualTo bound / 2
                }
            }

            it("spreads the retries of work that failed together") {
                val backoff = RetryBackoff(Random(1))
                List(100) { backoff.delayAfter(1) }.distinct() shouldHaveSize 100
            }
        }
    })
