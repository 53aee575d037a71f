package dev.vanillarun.core.pace

import dev.vanillarun.core.catalog.ColdStart
import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** One try of [sender] to send: it leaves [lag] after its permission, and its head arrives [answer] later. */
private data class Try(val sender: Int, val pause: Duration, val lag: Duration, val answer: Duration)

/** A queue of work at each sender: hardly a pause between tries, and now and then a process that is frozen. */
private val tries = Arb.list(
    arbitrary { source ->
        val random = source.random
        val lag = if (random.nextInt(10) == 0) random.nextInt(4000) else random.nextInt(20)
        Try(random.nextInt(SENDERS), random.nextInt(30).milliseconds, lag.milliseconds, random.nextInt(80).milliseconds)
    },
    1..400,
)
private const val OWNERS = ColdAllowance.MAX_OWNERS
private const val SENDERS = OWNERS + ColdAllowance.MAX_CONTROLLERS

/** Plays [all] with clocks that run up to 2% fast or slow; returns when requests left, by the target's clock. */
private fun play(all: List<Try>, bound: Int, senders: Set<Int>, cold: Boolean, drifts: List<Double>): List<Duration> {
    val rules = PaceRules(ColdAllowance(bound), coldDuration = 3.seconds)
    val state = if (cold) ColdState(coldUntil = Instant(0) + 1.hours) else ColdState()
    val targets = Array(SENDERS) { PacedTarget(startedAt = 1, cold = state) }
    val heads = mutableListOf<Pair<Duration, Int>>()
    val left = mutableListOf<Duration>()
    var now = Duration.ZERO
    fun clock(sender: Int, at: Duration) = Instant((at * drifts[sender]).inWholeNanoseconds)
    fun handleHeads() {
        heads.filter { it.first <= now }.sortedBy { it.first }.forEach { (at, sender) ->
            targets[sender] = targets[sender].confirmed(sender >= OWNERS, clock(sender, at))
        }
        heads.removeAll { it.first <= now }
    }
    all.filter { it.sender in senders }.forEach { next ->
        now += next.pause
        handleHeads()
        val isControl = next.sender >= OWNERS
        val question = PaceQuestion(rules, { true }, isControl, clock(next.sender, now))
        if (targets[next.sender].refusal(question) == null) {
            targets[next.sender] = targets[next.sender].permitted(isControl, question.now)
            left += now + next.lag
            heads += now + next.lag + next.answer to next.sender
        }
    }
    return left.sorted()
}

private fun mostInASecond(left: List<Duration>): Int =
    left.indices.maxOfOrNull { first -> left.drop(first).count { it - left[first] <= 1.seconds } } ?: 0

private val drifts = Arb.list(Arb.int(980..1020).map { it / 1000.0 }, SENDERS..SENDERS)

class AllowanceLawsTest :
    DescribeSpec({
        // Load: a data centre returns cold while every instance has a queue of samples for its engines.
        describe("a cold target that several instances believe to own") {
            it("gets its allowance at most in any second, also from clocks that drift and processes that freeze") {
                checkAll(300, tries, Arb.int(0..60), drifts) { all, bound, drift ->
                    mostInASecond(
                        play(all, bound, (0 until SENDERS).toSet(), cold = true, drift),
                    ) shouldBeLessThanOrEqual
                        bound
                }
            }
        }
        // Load: an engine turns cold under full work; its two believed owners and a controller have not heard of it.
        describe("a target of which nobody knows that it is cold") {
            it("gets its allowance at most from two owners and a controller") {
                checkAll(300, tries, Arb.int(3..60), drifts) { all, bound, drift ->
                    mostInASecond(play(all, bound, setOf(0, 1, OWNERS), cold = false, drift)) shouldBeLessThanOrEqual
                        bound
                }
            }
        }
        it("divides an allowance so that an owner and a controller each get a share, from five requests on") {
            checkAll(Arb.int(5..500)) { bound ->
                val allowance = ColdAllowance(bound)
                val shares = listOf(allowance.owner, allowance.control, allowance.unaware, allowance.unawareControl)
                shares.all { it > 0 } shouldBe true
            }
        }
        it("takes factor and slack into the bound and rounds it down") {
            ColdAllowance.of(ColdStart(3.seconds, 16.0), over = 1.5, slack = 5.0).bound shouldBe 29
            ColdAllowance.of(ColdStart(3.seconds, 16.9)).bound shouldBe 16
        }
        // Load: an owner that has a queue for its cold engine asks again when the refusal says.
        it("opens at the time that it names, and not before") {
            checkAll(Arb.list(Arb.int(0..400), 1..20), Arb.int(1..8)) { pauses, limit ->
                var window = SendWindow()
                var now = Instant(0)
                pauses.forEach { pause ->
                    now += pause.milliseconds
                    if (window.used(now) < limit) window = window.permitted(now).confirmed(now)
                }
                val opens = window.opensAt(limit)
                if (opens != null) {
                    window.used(opens - 1.nanoseconds) shouldBe limit
                    window.used(opens).toLong() shouldBeLessThanOrEqual limit - 1L
                }
            }
        }
    })
