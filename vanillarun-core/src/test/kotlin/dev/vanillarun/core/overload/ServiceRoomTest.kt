package dev.vanillarun.core.overload

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val full = TargetRoom(slots = 6, busy = 8, queueLimit = 2, serviceTime = 36.milliseconds)

class ServiceRoomTest :
    DescribeSpec({
        describe("live calls at a service whose targets refuse for lack of capacity") {
            it("are sent while one target may have room") {
                val few = TargetRoom(slots = 6, busy = 7, queueLimit = 2)
                val unknown = TargetRoom(slots = 6, busy = 20)
                listOf(few, unknown).forEach {
                    decideRoom(listOf(full, it), Duration.ZERO, Random(1)) shouldBe RoomDecision.Send
                }
            }
            it("wait no longer than they may, and only until after room is expected") {
                checkAll(Arb.list(Arb.int(1..300), 1..10), Arb.int(0..300), Arb.int()) { backoffs, max, seed ->
                    val targets = backoffs.map { TargetRoom(slots = 6, backoffLeft = it.milliseconds) }
                    when (val decision = decideRoom(targets, max.milliseconds, Random(seed))) {
                        is RoomDecision.Wait -> {
                            decision.delay shouldBeGreaterThanOrEqualTo backoffs.min().milliseconds
                            decision.delay shouldBeLessThanOrEqualTo max.milliseconds
                        }

                        else -> {
                            decision shouldBe RoomDecision.Refuse
                            backoffs.min().milliseconds shouldBeGreaterThanOrEqualTo max.milliseconds
                        }
                    }
                }
            }
            it("wait for the next slot of a target that is full by its own report") {
                decideRoom(listOf(full), 10.milliseconds, Random(1)).shouldBeInstanceOf<RoomDecision.Wait>()
                    .delay shouldBeGreaterThanOrEqualTo 6.milliseconds
                decideRoom(listOf(full), 5.milliseconds, Random(1)) shouldBe RoomDecision.Refuse
            }
            it("that are refused come back within a third of their time, otherwise when room is expected") {
                checkAll(Arb.int(0..3000), Arb.int(0..300), Arb.int(0..2000)) { left, usual, backoff ->
                    val targets = listOf(TargetRoom(slots = 6, backoffLeft = backoff.milliseconds))
                    val wait = retryAfter(targets, usual.milliseconds, left.milliseconds)
                    wait shouldBe minOf(maxOf(backoff, usual).milliseconds, left.milliseconds / 3)
                }
                retryAfter(listOf(full), Duration.ZERO, (-1).milliseconds) shouldBe Duration.ZERO
            }
        }
    })
