package dev.vanillarun.hosted.catalog

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

class ReplicaSourceTest :
    DescribeSpec({
        suspend fun withFollower(test: suspend (FakeTopicLog, ReplicaSource, ManualClock) -> Unit): Unit =
            coroutineScope {
                val log = FakeTopicLog()
                val clock = ManualClock()
                val source = ReplicaSource(log, FakeCodec, clock, NoOpEventRecorder)
                launch { source.follower.run() }
                launch { source.run() }
                FakeCodec.announce(log, "t", "desk ready")
                source.replicas.first { it.size == 1 }
                test(log, source, clock)
                coroutineContext.cancelChildren()
            }

        it("gives no new work to a target that leaves or has withdrawn") {
            withFollower { log, source, _ ->
                FakeCodec.announce(log, "t", "desk leaving")
                eventually(5.seconds) { source.of("desk").shouldBeEmpty() }
                FakeCodec.announce(log, "t", null)
                source.replicas.first { it.isEmpty() }
            }
        }
        it("drops a target whose entry was overwritten with something that names none") {
            withFollower { log, source, _ ->
                FakeCodec.announce(log, "t", "unreadable")
                source.replicas.first { it.isEmpty() }
            }
        }
        it("keeps a target whose entry lapsed in an outage of the store, until it had time to come back") {
            withFollower { log, source, clock ->
                log.up = false
                source.follower.state.first { it.unavailableSince != null }
                FakeCodec.announceWhileDown(log, "t")
                log.up = true
                source.follower.state.first { it.recoveredAt != null }
                source.replicas.value.keys shouldBe setOf(TargetId("t"))
                FakeCodec.announce(log, "back", "desk ready")
                source.replicas.first { it.size == 2 }
                clock.advance(2.seconds)
                source.replicas.first { it.keys == setOf(TargetId("back")) }
            }
        }
    })
