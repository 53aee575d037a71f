package dev.vanillarun.hosted.store

import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicReadResult
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.ManualClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val topic = TopicName("t", keyed = false)

/** Keeps the values it receives; a value `poison` throws, and `deep` exhausts the stack. */
private class Values : TopicSink {
    val seen = CopyOnWriteArrayList<String>()

    override fun reset(records: List<StoredTopicRecord>) {
        seen.clear()
        accept(records)
    }

    override fun accept(records: List<StoredTopicRecord>) {
        val values = records.map { it.value!!.decodeToString() }
        check("poison" !in values) { "cannot be applied" }
        if ("deep" in values) throw StackOverflowError()
        seen += values
    }
}

/** Answers a read only if it bears [needed] of silence, as a store that sends a page to each of many instances. */
private class BusyLog(private val log: FakeTopicLog, private val needed: Duration) : TopicLog by log {
    override suspend fun read(topic: TopicName, from: Offset, wait: Duration, silence: Duration): TopicReadResult =
        if (silence < needed) TopicReadResult.Unavailable("no answer") else log.read(topic, from, wait, silence)
}

/** Counts the reads that do not wait, which are those made to confirm a view. */
private class CountingLog(private val log: FakeTopicLog) : TopicLog by log {
    val confirmations = AtomicInteger()

    override suspend fun read(topic: TopicName, from: Offset, wait: Duration, silence: Duration): TopicReadResult {
        if (wait == Duration.ZERO) confirmations.incrementAndGet()
        return log.read(topic, from, wait, silence)
    }
}

class TopicFollowerTest :
    DescribeSpec({
        suspend fun FakeTopicLog.write(vararg values: String) =
            append(topic, values.map { TopicRecord("", it.encodeToByteArray()) })

        suspend fun following(
            log: TopicLog,
            clock: ManualClock,
            sink: TopicSink,
            use: suspend (TopicFollower) -> Unit,
        ): Unit = coroutineScope {
            val follower = TopicFollower(log, topic, sink, clock, NoOpEventRecorder) { ReadPace(longPoll = 5.seconds) }
            launch { follower.run() }
            follower.state.first { it.ready }
            use(follower)
            coroutineContext.cancelChildren()
        }

        describe("a record that the view cannot process") {
            it("is skipped, and the records around it are applied once") {
                val log = FakeTopicLog()
                val values = Values()
                log.write("a", "poison", "b")
                following(log, ManualClock(), values) { follower ->
                    log.write("poison")
                    log.write("c", "poison", "deep", "d")
                    follower.state.first { it.next.value == 8L }
                    values.seen shouldContainExactly listOf("a", "b", "c", "d")
                }
            }
        }
        // Guards against followers that ask for the same page for good, as each read is given up before it is answered.
        describe("a read that takes longer than its first limit") {
            it("is repeated with a longer one") {
                val log = FakeTopicLog()
                log.write("a")
                val values = Values()
                following(BusyLog(log, needed = 1.seconds), ManualClock(), values) {
                    values.seen shouldContainExactly listOf("a")
                }
            }
        }
        // Guards against denials by a view that lacks what was appended while the pages of its snapshot were read.
        describe("a view from a snapshot of several pages") {
            it("is as old as the first page") {
                val keyed = TopicName("k", keyed = true)
                val clock = ManualClock()
                val log = FakeTopicLog().apply { snapshotPageRecords = 1 }
                log.append(keyed, listOf("a", "b", "c").map { TopicRecord(it, it.encodeToByteArray()) })
                val slow = object : TopicLog by log {
                    override suspend fun newest(topic: TopicName, after: String?, silence: Duration) =
                        log.newest(topic, after, silence).also { clock.advance(1.seconds) }

                    override suspend fun read(topic: TopicName, from: Offset, wait: Duration, silence: Duration) =
                        awaitCancellation()
                }
                coroutineScope {
                    val follower = TopicFollower(slow, keyed, Values(), clock, NoOpEventRecorder)
                    launch { follower.run() }
                    follower.state.first { it.ready }
                    follower.age(clock.now()) shouldBe 3.seconds
                    coroutineContext.cancelChildren()
                }
            }
        }
        describe("an old view") {
            it("is confirmed by one read of the store, however many ask at once") {
                val log = FakeTopicLog()
                val counting = CountingLog(log)
                val clock = ManualClock()
                following(counting, clock, Values()) { follower ->
                    val before = counting.confirmations.get()
                    clock.advance(2.seconds)
                    coroutineScope {
                        List(50) { async { follower.confirm(900.milliseconds, 1.seconds) } }.awaitAll().toSet() shouldBe
                            setOf(true)
                    }
                    counting.confirmations.get() - before shouldBe 1
                    follower.age(clock.now())!! shouldBeLessThan 900.milliseconds
                }
            }
            it("holds what the store had when it was confirmed") {
                val log = FakeTopicLog()
                val values = Values()
                val clock = ManualClock()
                following(log, clock, values) { follower ->
                    clock.advance(2.seconds)
                    log.write("new")
                    follower.confirm(900.milliseconds, 1.seconds) shouldBe true
                    values.seen shouldContainExactly listOf("new")
                }
            }
            it("is not confirmed while the store is unavailable") {
                val log = FakeTopicLog()
                val clock = ManualClock()
                following(log, clock, Values()) { follower ->
                    log.up = false
                    clock.advance(2.seconds)
                    follower.confirm(900.milliseconds, 100.milliseconds) shouldBe false
                }
            }
        }
    })
