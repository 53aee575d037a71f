package dev.vanillarun.core.lease

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class LeaseTest :
    DescribeSpec({
        val length = 60.seconds

        fun history(seed: Long, faults: LeaseFaults) = LeaseSimulation(Random(seed), faults).run(length)

        describe("any history with pauses, drift, outages, lost, late and repeated appends") {
            it("never has two that believe, nor orders of two terms at a time") {
                var terms = 0
                checkAll(400, Arb.long()) { seed ->
                    val history = history(seed, LeaseFaults())
                    history.maxActiveHolders shouldBeLessThanOrEqual 1
                    history.overlaps.shouldBeEmpty()
                    terms += history.terms
                }
                terms shouldBeGreaterThan 800
            }
        }

        describe("a holder that counts its term from after the send") {
            it("is caught") {
                val faults = LeaseFaults(countsFromAck = true)
                val caught = (0L until 400L).count { history(it, faults).maxActiveHolders > 1 }
                withClue("runs with two holders that may act") { caught shouldBeGreaterThan 0 }
            }
        }

        describe("a history without log faults") {
            val noFaults = LeaseFaults(pauses = false, appendFaults = false, outages = false, churn = false)
            val timing = LeaseSimulation.TIMING
            val exchange = LeaseSimulation.MAX_POLL_CYCLE * 2 + LeaseSimulation.MAX_APPEND_DELAY
            val challenge = timing.challengeDelay * (1 + timing.drift)

            it("has a new holder after a kill once the challenge delay is over") {
                val bound = challenge + timing.maxClaimJitter + exchange
                checkAll(200, Arb.long()) { seed ->
                    val history = history(seed, noFaults.copy(killHolderAt = 20_000))
                    history.terms shouldBe 2
                    history.longestVacancy shouldBeLessThan bound.inWholeMilliseconds
                }
            }

            it("has a new holder after a planned stop without waiting for the challenge delay") {
                val settling = LeaseSimulation.ORDER_DURATION * (1 + timing.drift) + timing.maxEffectDelay
                val bound = settling + timing.maxClaimJitter + exchange * 2
                bound shouldBeLessThan challenge
                checkAll(200, Arb.long()) { seed ->
                    val history = history(seed, noFaults.copy(stopHolderAt = 20_000))
                    history.terms shouldBe 2
                    history.longestVacancy shouldBeLessThan bound.inWholeMilliseconds
                }
            }
        }

        describe("timing") {
            it("makes a challenger wait longer than a holder may act") {
                val timing = LeaseTiming()
                (timing.challengeDelay > timing.term * (1 + timing.drift) + timing.maxEffectDelay) shouldBe true
            }
        }
    })
