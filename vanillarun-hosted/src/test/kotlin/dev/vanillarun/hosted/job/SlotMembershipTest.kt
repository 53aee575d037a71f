package dev.vanillarun.hosted.job

import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.FakeTopicLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
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
    })
