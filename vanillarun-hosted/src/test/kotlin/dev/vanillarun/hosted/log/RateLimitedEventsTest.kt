package dev.vanillarun.hosted.log

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.record
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class RateLimitedEventsTest :
    DescribeSpec({
        class CapturingRecorder : EventRecorder {
            val recorded = mutableListOf<Pair<String, Map<String, String>>>()

            override fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId {
                recorded += name to attributes
                return EventId(InstanceId("i"), Incarnation("r"), recorded.size.toLong())
            }
        }

        it("limits events of one name per second and then reports how many were dropped") {
            val recorder = CapturingRecorder()
            val clock = ManualClock()
            val events = RateLimitedEvents(recorder, perSecond = 3, clock = clock)
            repeat(10) { events.record("flood") }
            recorder.recorded.size shouldBe 3
            clock.advance(1.seconds)
            events.record("flood")
            recorder.recorded.last() shouldBe ("flood" to mapOf("left_out_before" to "7"))
        }
        it("limits each event name independently") {
            val recorder = CapturingRecorder()
            val events = RateLimitedEvents(recorder, perSecond = 3, clock = ManualClock())
            repeat(10) { events.record("flood") }
            events.record("rare")
            recorder.recorded.last().first shouldBe "rare"
        }
    })
