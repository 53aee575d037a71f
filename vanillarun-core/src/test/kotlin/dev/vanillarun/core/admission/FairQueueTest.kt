package dev.vanillarun.core.admission

import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.math.abs
import kotlin.time.Duration.Companion.seconds

private val start = Instant(0)
private val classes = listOf(PriorityClass("rollout", 20), PriorityClass("live", 10), PriorityClass("sync", 5))

private fun ticket(item: Int, customer: String, priority: String = "live", work: Long = 1, deadline: Instant? = null) =
    Ticket(item, CustomerId(customer), priority, work, deadline)

private fun FairQueue<Int>.served(count: Int): List<Ticket<Int>> = List(count) { poll(start)!!.ticket }

class FairQueueTest :
    DescribeSpec({
        describe("a fair queue") {
            it("serves each admitted request exactly once, and those of a customer and class in order") {
                checkAll(Arb.list(Arb.int(0..8), 0..60), Arb.int(1..40)) { choices, limit ->
                    val queue = FairQueue<Int>(classes, limit)
                    val admitted =
                        choices.withIndex().filter { (i, choice) ->
                            val ticket = ticket(i, "c${choice % 3}", classes[choice / 3].name, work = choice + 1L)
                            queue.offer(ticket, start) == Admission.Queued
                        }
                    queue.size shouldBe admitted.size
                    admitted.size shouldBeLessThanOrEqualTo limit
                    val out = queue.served(admitted.size)
                    queue.poll(start) shouldBe null
                    out.map { it.item }.toSet() shouldBe admitted.map { it.index }.toSet()
                    out.groupBy { it.customer to it.priority }.values.forEach { own ->
                        own.map { it.item }.shouldBeSorted()
                    }
                }
            }
            it("keeps the weighted work served to two backlogged customers within one request of each other") {
                checkAll(Arb.list(Arb.long(1L..100L), 40..80), Arb.int(1..4), Arb.int(1..4)) { works, a, b ->
                    val weights = mapOf(CustomerId("a") to a, CustomerId("b") to b)
                    val queue = FairQueue<Int>(classes, limit = 1000, weightOf = weights::getValue)
                    works.forEachIndexed { i, work ->
                        queue.offer(
                            ticket(
                                i,
                                if (i % 2 ==
                                    0
                                ) {
                                    "a"
                                } else {
                                    "b"
                                },
                                work = work,
                            ),
                            start,
                        )
                    }
                    val served = HashMap<CustomerId, Double>().withDefault { 0.0 }
                    repeat(works.size / 4) {
                        val next = queue.poll(start)!!.ticket
                        served[next.customer] =
                            served.getValue(next.customer) + next.work.toDouble() / weights.getValue(next.customer)
                    }
                    val gap = abs(served.getValue(CustomerId("a")) - served.getValue(CustomerId("b")))
                    gap shouldBeLessThanOrEqualTo 100.0 / a + 100.0 / b
                }
            }
            it("gives lower classes their configured share and no more while higher ones are backlogged") {
                val queue = FairQueue<Int>(classes, limit = 100_000)
                classes.forEach { level -> repeat(2000) { queue.offer(ticket(it, "c", level.name, work = 7), start) } }
                val served = queue.served(1000).groupingBy { it.priority }.eachCount()
                abs(served.getValue("rollout") - 800) shouldBeLessThanOrEqualTo 2
                abs(served.getValue("live") - 180) shouldBeLessThanOrEqualTo 2
                abs(served.getValue("sync") - 20) shouldBeLessThanOrEqualTo 2
            }
            it("starves no class, even with a configured yield of zero") {
                val queue = FairQueue<Int>(listOf(PriorityClass("high", 0), PriorityClass("low", 0)), limit = 100_000)
                repeat(1000) { queue.offer(ticket(it, "c", "high"), start) }
                queue.offer(ticket(-1, "c", "low"), start)
                queue.served(200).count { it.item == -1 } shouldBe 1
            }
            it("keeps places free for others when one customer floods the queue") {
                val queue = FairQueue<Int>(classes, limit = 100)
                val flood = (1..1000).count { queue.offer(ticket(it, "flood"), start) == Admission.Queued }
                flood shouldBeLessThanOrEqualTo 50
                (1..20).count { queue.offer(ticket(it, "small"), start) == Admission.Queued } shouldBe 20
            }
            it("refuses at once a request that would wait past its deadline, with a retry delay") {
                val queue = FairQueue<Int>(classes, limit = 1000)
                (0..10).forEach { queue.complete(ticket(it, "c"), actualWork = 100, start + it.seconds) }
                repeat(10) { queue.offer(ticket(it, "c", work = 100), start + 10.seconds) }
                val now = start + 10.seconds
                queue.offer(ticket(99, "c", work = 100, deadline = now + 60.seconds), now) shouldBe Admission.Queued
                val refused = queue.offer(ticket(98, "c", work = 100, deadline = now + 2.seconds), now)
                refused.shouldBeInstanceOf<Admission.Refused>().reason shouldBe RefusalReason.DEADLINE
                refused.retryAfter shouldBeGreaterThanOrEqualTo 5.seconds
                queue.offer(ticket(97, "d", work = 100, deadline = now + 5.seconds), now) shouldBe Admission.Queued
            }
            it("returns a request that waited past its deadline as expired") {
                val queue = FairQueue<Int>(classes, limit = 10)
                queue.offer(ticket(1, "c", deadline = start + 1.seconds), start)
                queue.poll(start + 2.seconds).shouldBeInstanceOf<PollResult.Expired<Int>>()
            }
            it("prefers requests with a better affinity, but serves the oldest after a bounded number of skips") {
                val queue = FairQueue<Int>(classes, limit = 1000)
                (0 until 200).forEach { queue.offer(ticket(it, "c"), start) }
                val affinityOf = { item: Int -> if (item % 2 == 1) Affinity.CACHED else Affinity.ELSEWHERE }
                queue.poll(start, affinityOf = affinityOf)?.ticket?.item shouldBe 1
                val served = List(199) { queue.poll(start, affinityOf = affinityOf)!!.ticket.item }
                served.indexOf(0) shouldBeLessThanOrEqualTo 64
                (served + 1).toSet() shouldBe (0 until 200).toSet()
            }
            it("leaves a slow target to a customer with a backlog, and delays no request longer than the slowdown") {
                val queue = FairQueue<Int>(classes, limit = 1000)
                (0..10).forEach { queue.complete(ticket(it, "c"), actualWork = 100, start + it.seconds) }
                val now = start + 10.seconds
                queue.offer(ticket(1, "light", work = 100), now)
                (2..90).forEach { queue.offer(ticket(it, "flood", work = 100), now) }
                queue.poll(now, slowdown = 3.seconds)?.ticket?.item shouldBe 2
                queue.poll(now)?.ticket?.item shouldBe 1
                queue.offer(ticket(99, "light", work = 100), now)
                queue.poll(now + 3.seconds, slowdown = 3.seconds)?.ticket?.item shouldBe 99
            }
            it("expires a request that could still start before its deadline but not finish") {
                val queue = FairQueue<Int>(classes, limit = 1000)
                (0 until 30).forEach { i ->
                    val offeredAt = start + i.seconds
                    queue.offer(ticket(i, "c", work = 100), offeredAt)
                    queue.complete(queue.poll(offeredAt)!!.ticket, actualWork = 100, offeredAt + 4.seconds)
                }
                val now = start + 34.seconds
                queue.offer(ticket(98, "c", work = 100, deadline = now + 9.seconds), now) shouldBe Admission.Queued
                queue.poll(now + 3.seconds).shouldBeInstanceOf<PollResult.Run<Int>>()
                queue.offer(ticket(99, "c", work = 100, deadline = now + 9.seconds), now) shouldBe Admission.Queued
                queue.poll(now + 8.seconds).shouldBeInstanceOf<PollResult.Expired<Int>>()
            }
            it("never serves a request that was removed") {
                val queue = FairQueue<Int>(classes, limit = 10)
                (1..3).forEach { queue.offer(ticket(it, "c"), start) }
                queue.remove(2)?.item shouldBe 2
                queue.remove(2) shouldBe null
                queue.served(2).map { it.item } shouldBe listOf(1, 3)
            }
        }
    })
