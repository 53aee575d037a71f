package dev.vanillarun.hosted.job

import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.SuspendAwareClock
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SlotMembershipTest :
    DescribeSpec({
        it("owns the jobs whose slot was granted") {
            coroutineScope {
                val slots = SlotMembership(FakeTopicLog(), "i", NoOpEventRecorder)
                slots.owns("model") shouldBe false
                val member = launch { slots.run() }
                slots.grant.first { it.slots.isNotEmpty() }
                slots.owns("model") shouldBe true
                member.cancel()
            }
        }
        it("does not rejoin after leaving, as in a rolling restart") {
            coroutineScope {
                val log = FakeTopicLog()
                val slots = SlotMembership(log, "i", NoOpEventRecorder)
                val member = launch { slots.run() }
                slots.grant.first { it.slots.isNotEmpty() }
                slots.leave()
                val ended = withTimeoutOrNull(3.seconds) { member.join() } != null
                member.cancel()
                ended shouldBe true
                log.members.shouldBeEmpty()
                slots.owns("model") shouldBe false
            }
        }
        // Load: a queue of samples for a cold engine, at an owner that the store may have replaced.
        describe("an instance that no longer hears from the store") {
            it("holds its slots until the store may have given them away, and not longer") {
                coroutineScope {
                    val clock = ManualClock()
                    val log = FakeTopicLog()
                    val slots = SlotMembership(log, "i", NoOpEventRecorder, clock)
                    val member = launch { slots.run() }
                    slots.grant.first { it.slots.isNotEmpty() }
                    log.up = false
                    clock.advance(1400.milliseconds)
                    slots.holds("model") shouldBe true
                    clock.advance(100.milliseconds)
                    slots.holds("model") shouldBe false
                    slots.owns("model") shouldBe true
                    member.cancel()
                }
            }
            it("holds none after it was frozen, before it has heard anything") {
                coroutineScope {
                    var wallMillis = 0L
                    val clock = SuspendAwareClock(monotonicNanos = { 0 }, wallMillis = { wallMillis })
                    val slots = SlotMembership(FakeTopicLog(), "i", NoOpEventRecorder, clock)
                    val member = launch { slots.run() }
                    slots.grant.first { it.slots.isNotEmpty() }
                    member.cancel()
                    slots.holds("model") shouldBe true
                    wallMillis += 5000
                    slots.holds("model") shouldBe false
                }
            }
        }
    })
