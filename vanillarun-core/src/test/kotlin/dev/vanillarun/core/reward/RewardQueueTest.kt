package dev.vanillarun.core.reward

import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private class Call(val group: RewardGroup = RewardGroup())

private fun queue(random: Random = Random(1)) = RewardQueue.create<Call>(random) { it.group }

private fun at(ms: Int) = Instant(0) + ms.milliseconds

/** A window of one call, as after refusals of single calls. */
private fun narrowed() = queue().apply {
    offer(Call())
    poll(at(0))
    ended(RewardCallEnd.REFUSED, at(0))
}

/** Instances that score without end at a service of [slots], which refuses what finds no free slot, for [seconds]. */
private class Shortage(instances: Int, private val slots: Int, seed: Int) {
    private val queues = List(instances) { queue(Random(seed + it)) }
    private var busy = ArrayDeque<Pair<Int, RewardQueue<Call>>>()
    val sends = ArrayList<Int>()
    val answers = ArrayList<Int>()

    fun run(seconds: Int) = (0 until seconds * 1000).forEach { ms ->
        while (busy.firstOrNull()?.let { it.first <= ms } == true) {
            busy.removeFirst().second.ended(RewardCallEnd.ANSWERED, at(ms))
            answers += ms
        }
        queues.forEach { queue -> send(queue, ms) }
    }

    private fun send(queue: RewardQueue<Call>, ms: Int) {
        while (queue.size < BACKLOG) queue.offer(Call())
        while (queue.poll(at(ms)) != null) {
            sends += ms
            if (busy.size < slots) {
                busy += ms + SERVICE_MS to queue
            } else {
                queue.ended(RewardCallEnd.REFUSED, at(ms))
            }
        }
    }

    companion object {
        const val SERVICE_MS = 43
        private const val BACKLOG = 8
    }
}

class RewardQueueTest :
    DescribeSpec({
        describe("bursts of rewards from many instances at a service that refuses beyond its slots") {
            it("are sent at a rate within a bounded multiple of its capacity") {
                checkAll(10, Arb.int(1..60), Arb.int(1..18), Arb.int()) { instances, slots, seed ->
                    val shortage = Shortage(instances, slots, seed).apply { run(seconds = 8) }
                    val perSecond = slots * 1000 / Shortage.SERVICE_MS
                    // Each instance asks at least once in the longest backoff and may be refused in each round.
                    val bound = 2 * perSecond + instances * 4
                    (2 until 8).forEach { second ->
                        shortage.sends.count { it / 1000 == second } shouldBeLessThanOrEqualTo bound
                    }
                }
            }
            it("keep most of its capacity in use") {
                checkAll(10, Arb.int(2..60), Arb.int(4..18), Arb.int()) { instances, slots, seed ->
                    val shortage = Shortage(instances, slots, seed).apply { run(seconds = 8) }
                    val perSecond = slots * 1000 / Shortage.SERVICE_MS
                    shortage.answers.count { it >= 2000 } shouldBeGreaterThanOrEqualTo perSecond * 6 / 2
                }
            }
        }

        describe("rewards at a service with capacity for all") {
            it("are never delayed, however many come at once") {
                checkAll(20, Arb.int(1..2000)) { count ->
                    val queue = queue()
                    repeat(count) { queue.offer(Call()) }
                    repeat(count) { queue.poll(at(0)).shouldNotBeNull() }
                    repeat(count) { queue.ended(RewardCallEnd.ANSWERED, at(1)) }
                }
            }
        }

        describe("rewards that wait for the window of a service that is short of room") {
            it("go by group: in time before late, fewest open items, nearest due time") {
                val late = Call(RewardGroup(at(500), openItems = 1))
                val last = Call(RewardGroup(at(9000), openItems = 1))
                val near = Call(RewardGroup(at(8000), openItems = 3))
                val far = Call(RewardGroup(at(9000), openItems = 3))
                val queue = narrowed()
                listOf(late, far, near, last).forEach(queue::offer)
                val order = List(4) {
                    queue.poll(at(1000)).also { queue.ended(RewardCallEnd.ANSWERED, at(1000)) }
                }
                order.shouldContainExactly(last, near, far, late)
            }
            it("start within eight calls for each that waited before them, however urgent the others are") {
                checkAll(20, Arb.int(0..20)) { before ->
                    val queue = narrowed()
                    repeat(before) { queue.offer(Call(RewardGroup(at(1), openItems = 9))) }
                    val late = Call(RewardGroup(at(1), openItems = 9))
                    queue.offer(late)
                    val starts = generateSequence {
                        repeat(2) { queue.offer(Call(RewardGroup(at(9000), openItems = 1))) }
                        queue.poll(at(1000)).also { queue.ended(RewardCallEnd.ANSWERED, at(1000)) }
                    }
                    starts.take((before + 1) * RewardQueue.AGED_SHARE).any { it === late }.shouldBeTrue()
                }
            }
            it("wait no longer than the longest backoff after any row of refusals") {
                checkAll(Arb.int(1..50)) { refusals ->
                    val queue = queue()
                    var now = at(0)
                    repeat(refusals) {
                        queue.offer(Call())
                        queue.backoffUntil?.let { now = it }
                        queue.poll(now).shouldNotBeNull()
                        queue.ended(RewardCallEnd.REFUSED, now)
                    }
                    queue.backoffUntil.shouldNotBeNull() - now shouldBeLessThanOrEqualTo RewardQueue.MAX_BACKOFF
                    queue.windowSize shouldBe 1
                }
            }
        }

        describe("repeats of rewards at a service that refuses all") {
            it("beyond a tenth of the first attempts and a burst of ten wait half a second or longer") {
                checkAll(Arb.list(Arb.boolean(), 0..300)) { events ->
                    val queue = queue()
                    var first = 0
                    var soon = 0
                    events.forEach { isFirst ->
                        if (isFirst) {
                            first++
                            queue.firstAttempt()
                        } else if (queue.repeatDelay(failures = 1, RewardCallEnd.REFUSED) < 250.milliseconds) {
                            soon++
                        }
                    }
                    soon shouldBeLessThanOrEqualTo 10 + first / 10
                    queue.repeatDelay(failures = 30, RewardCallEnd.REFUSED) shouldBeLessThanOrEqualTo 2.seconds
                }
            }
        }

        describe("repeats of rewards that failed otherwise, after refusals that spent the budget") {
            it("wait no longer than the shortest backoff") {
                checkAll(Arb.int(1..60)) { failures ->
                    val queue = queue()
                    repeat(20) { queue.repeatDelay(failures = 1, RewardCallEnd.REFUSED) }
                    queue.repeatDelay(failures, RewardCallEnd.OTHER) shouldBeLessThanOrEqualTo 40.milliseconds
                }
            }
        }

        describe("repeats of rewards while all targets of their service are evacuated") {
            it("come less and less often, and at least once a second") {
                val queue = queue()
                val delays = (1..12).map { queue.repeatDelay(it, RewardCallEnd.WITHHELD) }
                (delays.last() > delays.first() * 5) shouldBe true
                delays.forEach { it shouldBeLessThanOrEqualTo RewardQueue.MAX_BACKOFF }
            }
        }

        describe("a burst of rewards long after the last refusal of a former shortage") {
            it("starts at once, and within that time it does not") {
                checkAll(Arb.int(1001..9000)) { ms ->
                    val queue = narrowed()
                    repeat(50) { queue.offer(Call()) }
                    val started = generateSequence { queue.poll(at(ms)) }.count()
                    started shouldBe if (ms < RewardQueue.REOPENING_TIME.inWholeMilliseconds) 1 else 50
                }
            }
        }
    })
