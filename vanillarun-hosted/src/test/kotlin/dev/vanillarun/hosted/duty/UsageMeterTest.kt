package dev.vanillarun.hosted.duty

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.metering.UsageRecord
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.store.DurableAppender
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.seconds

class UsageMeterTest :
    DescribeSpec({
        describe("requests of which the meter is told once they have been running for a while") {
            it("are counted in the windows in which they began") {
                runTest {
                    val log = FakeTopicLog()
                    val appender = DurableAppender(log, UsageBoard.Topic, "p", NoOpEventRecorder)
                    val appending = launch { appender.run() }
                    val clock = ManualClock()
                    val meter = UsageMeter(appender, window = 5.seconds, clock = clock, wallClock = { 12_000 })
                    val anna = CustomerId("anna")
                    val long = clock.now()
                    clock.advance(3.seconds)
                    val short = clock.now()
                    meter.count(anna, since = long)
                    repeat(2) { meter.count(anna, since = short) }
                    meter.flush()
                    val records = log.all(UsageBoard.Topic).mapNotNull { record ->
                        record.value?.let { Json.decodeFromString(UsageRecord.serializer(), it.decodeToString()) }
                    }
                    records.shouldContainExactlyInAnyOrder(
                        UsageRecord.Counted(window = 1, requests = mapOf(anna to 1)),
                        UsageRecord.Counted(window = 2, requests = mapOf(anna to 2)),
                    )
                    appending.cancel()
                }
            }
        }
    })
