package dev.vanillarun.hosted.store

import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.store.TopicSnapshotResult
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration

private val topic = TopicName("t", keyed = true)

/** Notes the time that each read may stay silent. */
private class TimedLog(private val log: FakeTopicLog) : TopicLog by log {
    val silences = mutableListOf<Duration>()

    override suspend fun newest(topic: TopicName, after: String?, silence: Duration): TopicSnapshotResult {
        silences += silence
        return log.newest(topic, after, silence)
    }
}

/** Guards against starts that never end: a failed page that repeats the pages before it, or the same time limit. */
class SnapshotReaderTest :
    DescribeSpec({
        suspend fun log(vararg keys: String) = FakeTopicLog().apply {
            append(topic, keys.map { TopicRecord(it, it.encodeToByteArray()) })
            snapshotPageRecords = 2
        }

        describe("a snapshot of several pages") {
            it("reads only the page again that failed, and gives it twice the time after each failure") {
                val store = log("a", "b", "c", "d", "e")
                val timed = TimedLog(store)
                val reader = SnapshotReader(timed, topic, ManualClock())
                reader.next() shouldBe SnapshotStep.Partial
                store.up = false
                repeat(3) { reader.next().shouldBeInstanceOf<SnapshotStep.Failed>() }
                store.up = true
                reader.next() shouldBe SnapshotStep.Partial
                val page = reader.next().shouldBeInstanceOf<SnapshotStep.Complete>().page
                page.records.map { it.key } shouldContainExactly listOf("a", "b", "c", "d", "e")
                store.snapshotReads shouldContainExactly listOf(null, "b", "b", "b", "b", "d")
                timed.silences.slice(1..3).zipWithNext().forEach { (shorter, longer) -> longer shouldBe shorter * 2 }
                timed.silences[4] shouldBeGreaterThan timed.silences[5]
            }
            it("continues at the end that the topic had at the first page") {
                val store = log("a", "b", "c")
                val reader = SnapshotReader(store, topic, ManualClock())
                reader.next() shouldBe SnapshotStep.Partial
                store.append(topic, listOf(TopicRecord("d", ByteArray(1)), TopicRecord("a", ByteArray(1))))
                val page = reader.next().shouldBeInstanceOf<SnapshotStep.Complete>().page
                page.records.map { it.key } shouldContainExactly listOf("a", "b", "c")
                page.next.value shouldBe 3
            }
            it("begins after the keys that are left out") {
                val store = log("a/1", "a/2", "b", "c", "d")
                val reader = SnapshotReader(store, topic, ManualClock(), startAfter = "a0")
                reader.next() shouldBe SnapshotStep.Partial
                val page = reader.next().shouldBeInstanceOf<SnapshotStep.Complete>().page
                page.records.map { it.key } shouldContainExactly listOf("b", "c", "d")
                store.snapshotReads shouldContainExactly listOf("a0", "c")
            }
        }
    })
