package dev.vanillarun.core.limit

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.milliseconds

class LimitTest :
    DescribeSpec({
        describe("a token bucket") {
            it("never grants more than its burst, its refill and one oversized request") {
                checkAll(Arb.list(Arb.pair(Arb.long(1L..50L), Arb.long(0L..2000L)), 0..60)) { takes ->
                    var bucket = TokenBucket(perSecond = 10.0, burst = 20.0, at = Instant(0))
                    var now = Instant(0)
                    var taken = 0L
                    takes.forEach { (amount, pause) ->
                        now += pause.milliseconds
                        val decision = bucket.take(amount, now)
                        if (decision is RateDecision.Granted) {
                            bucket = decision.next
                            taken += amount
                        }
                        taken.toDouble() shouldBeLessThanOrEqual 20.0 + now.nanos / 1e8 + 50.0
                    }
                }
            }
            // A debt of more than an hour guards against callers that come back too early, for a second refusal.
            it("returns the delay after which the request is granted, however large the debt") {
                checkAll(Arb.long(1L..100L), Arb.long(-100_000L..0L)) { amount, debt ->
                    val empty = TokenBucket(perSecond = 10.0, burst = 20.0, level = debt.toDouble(), at = Instant(0))
                    val wait = empty.take(amount, Instant(0)).shouldBeInstanceOf<RateDecision.Limited>().retryAfter
                    val early = Instant(0) + wait - 1.milliseconds
                    empty.take(amount, early).shouldBeInstanceOf<RateDecision.Limited>()
                    empty.take(amount, Instant(0) + wait).shouldBeInstanceOf<RateDecision.Granted>()
                }
            }
        }
        describe("the shares of all instances") {
            it("add up to the whole limit, and each is greater than zero") {
                checkAll(Arb.list(Arb.int(0..1000), 1..12)) { demands ->
                    val all = demands.mapIndexed { i, demand -> InstanceDemand(InstanceId("i$i"), demand) }
                    val shares = all.map { LimitShare.of(it, all) }
                    shares.sumOf { it.fraction } shouldBe (1.0 plusOrMinus 1e-9)
                    shares.all { it.concurrency(256) >= 1 && it.fraction > 0 } shouldBe true
                    shares.sumOf { it.rate(1000) } shouldBe (1000.0 plusOrMinus 1e-6)
                }
            }
        }
    })
