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

class BoundedEventsTest :
    DescribeSpec({
        class Kept : EventRecorder {
            val lines = mutableListOf<Pair<String, Map<String, String>>>()

            override fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId {
                lines += name to attributes
                return EventId(InstanceId("i"), Incarnation("r"), lines.size.toLong())
            }
        }

        it("passes on so many of a kind a second, and then says how many were left out") {
            val kept = Kept()
            val clock = ManualClock()
            val events = RateLimitedEvents(kept, perSecond = 3, clock = clock)
            repeat(10) { events.record("flood") }
            kept.lines.size shouldBe 3
            clock.advance(1.seconds)
            events.record("flood")
            kept.lines.last() shouldBe ("flood" to mapOf("left_out_before" to "7"))
        }
        it("lets no kind take the place of another") {
            val kept = Kept()
            val events = RateLimitedEvents(kept, perSecond = 3, clock = ManualClock())
            repeat(10) { events.record("flood") }
            events.record("rare")
            kept.lines.last().first shouldBe "rare"
        }
    })
