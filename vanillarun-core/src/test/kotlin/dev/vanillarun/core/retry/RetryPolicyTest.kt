package dev.vanillarun.core.retry

import dev.vanillarun.core.outcome.Execution
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.Exhaustive
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.kotest.property.exhaustive.enum
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RetryPolicyTest :
    DescribeSpec({
        val policy = RetryPolicy(Random(1))
        val failed = FailedAttempt(Execution.UNKNOWN, idempotent = true, attempts = 1, targetsLeft = 3)

        describe("a retry policy") {
            it("retries only requests that did not run or are idempotent, while a target and attempts are left") {
                checkAll(Exhaustive.enum<Execution>(), Arb.boolean(), Arb.int(1..5), Arb.int(0..3)) {
                        ran,
                        idempotent,
                        n,
                        left,
                    ->
                    val attempt = FailedAttempt(ran, idempotent, attempts = n, targetsLeft = left, timeLeft = 5.seconds)
                    val decision = policy.decide(attempt, RetryBudget())
                    val allowed = (ran == Execution.NOT_RUN || idempotent) && n < 4 && left > 0
                    (decision is RetryDecision.Retry) shouldBe allowed
                    if (decision is RetryDecision.Retry) (decision.delay <= 25.milliseconds * (1 shl n)) shouldBe true
                }
            }
            it("gives up if the retry would exceed the deadline or the budget is exhausted") {
                val late = failed.copy(timeLeft = 1.seconds, expectedDuration = 2.seconds)
                policy.decide(late, RetryBudget()) shouldBe RetryDecision.GiveUp(GiveUpReason.DEADLINE)
                policy.decide(failed, RetryBudget(available = 0.9)) shouldBe RetryDecision.GiveUp(GiveUpReason.BUDGET)
            }
        }
    })
