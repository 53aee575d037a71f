package dev.vanillarun.hosted.evacuation

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.evacuation.Evacuations
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.TargetListing
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class EvacuationGateTest :
    DescribeSpec({
        val a = DataCentre("a")
        val b = DataCentre("b")
        fun replica(dataCentre: DataCentre) = Replica(TargetId("t"), "desk", "t:80", dataCentre, slots = 4)
        class Listing(private val age: Duration) : TargetListing {
            override fun of(service: String) = emptyList<Replica>()

            override fun announcementAge(target: TargetId) = age
        }
        suspend fun withSource(test: suspend (FakeTopicLog, CatalogSource) -> Unit): Unit = coroutineScope {
            val log = FakeTopicLog()
            val source = CatalogSource(log, FakeCodec, ManualClock(), NoOpEventRecorder)
            launch { source.follower.run() }
            FakeCodec.evacuate(log, "a")
            source.evacuations.first { it.isEvacuated(a) }
            test(log, source)
            coroutineContext.cancelChildren()
        }

        describe("the targets of an evacuated data centre") {
            it("get requests of no kind, and those elsewhere get all") {
                withSource { _, source ->
                    val gate = EvacuationGate(source.evacuations, Listing(Duration.ZERO), ManualClock())
                    val requests = ExchangeKind.entries.map { GatedRequest(it) }
                    requests.filter { gate.refusal(replica(a), it) == null }.shouldBeEmpty()
                    requests.filter { gate.enter(replica(a), it) == null }.shouldBeEmpty()
                    requests.mapNotNull { gate.enter(replica(b), it) }.shouldBeEmpty()
                }
            }
            it("count as cold after its end until they announce themselves again") {
                val clock = ManualClock().apply { advance(10.seconds) }
                val ended = MutableStateFlow(Evacuations(endedAt = mapOf(a to Instant(0) + 5.seconds)))
                fun reopened(age: Duration) = EvacuationGate(ended, Listing(age), clock).recentlyReopened(replica(a))
                reopened(6.seconds) shouldBe true
                reopened(1.seconds) shouldBe false
            }
        }
        describe("an evacuation that was requested while the store is away") {
            it("is in force with the first read after the outage; the earlier one stays in force all the while") {
                withSource { log, source ->
                    log.up = false
                    source.follower.state.first { it.unavailableSince != null }
                    FakeCodec.evacuate(log, "b")
                    source.evacuations.value.dataCentres shouldBe setOf(a)
                    log.up = true
                    withTimeout(5.seconds) { source.evacuations.first { it.dataCentres == setOf(a, b) } }
                }
            }
        }
        describe("a history of the topic that has expired") {
            it("keeps the orders that the snapshot still has, and takes back those that are absent from it") {
                withSource { log, source ->
                    FakeCodec.evacuate(log, "b")
                    source.evacuations.first { it.isEvacuated(b) }
                    log.up = false
                    source.follower.state.first { it.unavailableSince != null }
                    log.put(FakeCodec.operatorTopic, TopicRecord("evacuate/a", null))
                    log.expire(FakeCodec.operatorTopic, offset = 3)
                    log.up = true
                    val next = withTimeout(5.seconds) { source.evacuations.first { !it.isEvacuated(a) } }
                    next.dataCentres shouldBe setOf(b)
                }
            }
        }
    })
