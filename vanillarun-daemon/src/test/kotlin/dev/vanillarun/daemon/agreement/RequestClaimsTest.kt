package dev.vanillarun.daemon.agreement

import dev.vanillarun.core.claim.ClaimKey
import dev.vanillarun.core.claim.ClaimProgress
import dev.vanillarun.core.claim.RequestFingerprint
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.outcome.Execution
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.standin.log.AppendFault
import dev.vanillarun.standin.log.MemoryLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveAtMostSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

internal fun TestScope.virtualClock() = MonotonicClock { Instant(testScheduler.currentTime * 1_000_000) }

private fun TestScope.claims(log: MemoryLog, name: String): RequestClaims {
    val appender = LogAppender(log, virtualClock())
    backgroundScope.launch { appender.run() }
    val writer = RecordWriter(InstanceId(name), Incarnation(name))
    return RequestClaims(log, appender, writer, backgroundScope, virtualClock())
}

private const val MAX_CLAIM_DELAY_MS = 6_000L

/** Makes reads fail repeatedly for random periods; the last outage begins before the last claim. */
private suspend fun outages(log: MemoryLog, random: Random) {
    val steps = generateSequence { random.nextLong(MAX_CLAIM_DELAY_MS) }.take(4)
    for (step in steps) {
        log.readsFail = !log.readsFail
        delay(step)
    }
    log.readsFail = false
}

class RequestClaimsTest :
    DescribeSpec({
        val key = ClaimKey.of(CustomerId("desk"), RouteName("loans"), "k1")
        val booking = RequestFingerprint.of("POST", "/loans", "frame 3".encodeToByteArray())

        describe("a key") {
            it("is won once; later claims return the progress or a conflict") {
                runTest {
                    val log = MemoryLog()
                    val first = claims(log, "a")
                    val ticket = first.claim(key, booking).shouldBeInstanceOf<ClaimOutcome.Won>().ticket
                    val second = claims(log, "b")
                    val running = ClaimProgress.Running(InstanceId("a"))
                    second.claim(key, booking) shouldBe ClaimOutcome.Lost(running)
                    first.finish(ticket, status = 201, Execution.RAN)
                    advanceTimeBy(1.minutes)
                    val finished = ClaimProgress.Finished(201, Execution.RAN)
                    second.claim(key, booking) shouldBe ClaimOutcome.Lost(finished)
                    val other = RequestFingerprint.of("POST", "/loans", "frame 4".encodeToByteArray())
                    second.claim(key, other) shouldBe ClaimOutcome.Conflict
                }
            }

            it("is free again after the winner reported that it did not run") {
                runTest {
                    val log = MemoryLog()
                    val first = claims(log, "a")
                    val ticket = first.claim(key, booking).shouldBeInstanceOf<ClaimOutcome.Won>().ticket
                    first.finish(ticket, status = 503, Execution.NOT_RUN)
                    advanceTimeBy(1.minutes)
                    claims(log, "b").claim(key, booking).shouldBeInstanceOf<ClaimOutcome.Won>()
                }
            }
        }

        describe("a claim that reaches the log after it was released") {
            it("does not hold the key") {
                runTest {
                    val log = MemoryLog().apply {
                        readsFail = true
                        appendFault = { AppendFault.LATE }
                    }
                    claims(log, "a").claim(key, booking).shouldBeInstanceOf<ClaimOutcome.Unavailable>()
                    log.appendFault = { AppendFault.NONE }
                    log.readsFail = false
                    advanceTimeBy(1.minutes)
                    log.flushLate()
                    claims(log, "b").claim(key, booking).shouldBeInstanceOf<ClaimOutcome.Won>()
                }
            }
        }

        describe("a log that refuses") {
            it("makes a claim unavailable immediately") {
                runTest {
                    val log = MemoryLog().apply { appendFault = { AppendFault.REFUSE } }
                    claims(log, "a").claim(key, booking).shouldBeInstanceOf<ClaimOutcome.Unavailable>()
                }
            }
        }

        describe("any history of concurrent claims with faults") {
            it("runs a key at most once, and never blocks one that did not run") {
                var won = 0
                checkAll(150, Arb.long()) { seed ->
                    runTest {
                        val random = Random(seed)
                        val log = MemoryLog()
                        log.appendFault = {
                            if (random.nextInt(3) == 0) AppendFault.entries.random(random) else AppendFault.NONE
                        }
                        backgroundScope.launch { outages(log, random) }
                        val all = List(4) { claims(log, "n$it") }
                        val outcomes = all.flatMap { instance ->
                            List(3) {
                                async {
                                    delay(random.nextLong(MAX_CLAIM_DELAY_MS))
                                    instance.claim(key, booking)
                                }
                            }
                        }.awaitAll()
                        val winners = outcomes.filterIsInstance<ClaimOutcome.Won>()
                        winners.shouldHaveAtMostSize(1)
                        won += winners.size
                        advanceTimeBy(1.minutes)
                        log.flushLate()
                        log.readsFail = false
                        log.appendFault = { AppendFault.NONE }
                        val last = claims(log, "last").claim(key, booking)
                        if (winners.isEmpty()) last.shouldBeInstanceOf<ClaimOutcome.Won>()
                        if (winners.isNotEmpty()) last.shouldBeInstanceOf<ClaimOutcome.Lost>()
                    }
                }
                won shouldBeGreaterThan 50
            }
        }
    })
