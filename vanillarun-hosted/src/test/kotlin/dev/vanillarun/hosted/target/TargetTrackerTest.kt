package dev.vanillarun.hosted.target

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ranges.shouldBeIn
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val replica = Replica(TargetId("t"), "s", "10.0.0.1:80", DataCentre("z"), slots = 4)

class TargetTrackerTest :
    DescribeSpec({
        describe("the mean latency of a target whose machine is shared") {
            val clock = ManualClock()
            val tracker = TargetTracker(clock)
            fun answered(slowdown: Double?, elapsed: Int) {
                val load = TargetLoad(1, 0, 4, slowdown)
                val head = ResponseHead(200, null, null, notRun = false, weights = null, load = load)
                tracker.responseReceived(replica, head)
                tracker.latencyObserved(replica, elapsed.milliseconds)
            }
            it("holds no slowness of the moment that the target reports with the response") {
                answered(slowdown = 1.0, elapsed = 40)
                repeat(9) { answered(slowdown = 2.5, elapsed = 100) }
                tracker.of(replica).meanLatency shouldBe 40.milliseconds
            }
            it("holds the slowness of a target that no fresh report explains") {
                clock.advance(5.seconds)
                tracker.latencyObserved(replica, 100.milliseconds)
                tracker.of(replica).meanLatency!! shouldBeIn 48.9.milliseconds..49.1.milliseconds
                answered(slowdown = null, elapsed = 49)
                tracker.of(replica).meanLatency!! shouldBeIn 48.9.milliseconds..49.1.milliseconds
            }
        }
        describe("the requests that wait at a target when it refuses one for lack of capacity") {
            fun TargetTracker.received(running: Int, waiting: Int, refused: Boolean) {
                val load = TargetLoad(running, waiting, slots = 4)
                val head = ResponseHead(if (refused) 503 else 200, null, null, refused, weights = null, load = load)
                responseReceived(replica, head)
            }
            it("are known from a refusal with all slots taken, and corrected by reports of more") {
                val tracker = TargetTracker(ManualClock())
                tracker.received(running = 4, waiting = 9, refused = false)
                tracker.of(replica).queueLimit shouldBe null
                tracker.received(running = 4, waiting = 2, refused = true)
                tracker.of(replica).queueLimit shouldBe 2
                tracker.received(running = 4, waiting = 5, refused = false)
                tracker.received(running = 4, waiting = 1, refused = false)
                tracker.of(replica).queueLimit shouldBe 5
            }
            it("are unknown after a refusal with free slots, as during a weight load") {
                val tracker = TargetTracker(ManualClock())
                tracker.received(running = 0, waiting = 0, refused = true)
                tracker.of(replica).queueLimit shouldBe null
            }
            it("are forgotten with the target") {
                val tracker = TargetTracker(ManualClock())
                tracker.received(running = 4, waiting = 2, refused = true)
                tracker.retain(emptyList())
                tracker.of(replica).queueLimit shouldBe null
            }
        }
    })
