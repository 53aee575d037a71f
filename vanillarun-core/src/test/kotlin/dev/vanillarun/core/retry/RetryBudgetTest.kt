package dev.vanillarun.core.retry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

class RetryBudgetTest :
    DescribeSpec({
        describe("a retry budget") {
            it("grants at most the burst plus the ratio of first attempts, in any order of events") {
                checkAll(Arb.list(Arb.boolean(), 0..500)) { events ->
                    var budget = RetryBudget(RetryRules(ratio = 0.1, burst = 3.0))
                    var first = 0
                    var retries = 0
                    events.forEach { isFirst ->
                        if (isFirst) {
                            first++
                            budget = budget.firstAttempt()
                        } else {
                            budget.spend()?.let {
                                retries++
                                budget = it
                            }
                        }
                        retries.toDouble() shouldBeLessThanOrEqual 3.0 + 0.1 * first + 1e-9
                    }
                }
            }
        }
    })
