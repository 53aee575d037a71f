package dev.vanillarun.hosted.store

import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.AppendOutcome
import dev.vanillarun.hosted.fake.FakeTopicLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val topic = TopicName("t", keyed = true)

private fun record(key: String, bytes: Int = 1) = TopicRecord(key, ByteArray(bytes))

/** Size of values that the store rejects. */
private const val TOO_LARGE = 100

class DurableAppenderTest :
    DescribeSpec({
        suspend fun <T> withAppender(log: FakeTopicLog, use: suspend CoroutineScope.(DurableAppender) -> T): T =
            coroutineScope {
                val appender = DurableAppender(log, topic, producer = "p", NoOpEventRecorder)
                launch { appender.run() }
                use(appender).also { coroutineContext.cancelChildren() }
            }

        describe("a record that is kept") {
            it("stands exactly once, in order, whatever becomes of the tries") {
                checkAll(20, Arb.list(Arb.enum<AppendOutcome>(), 0..4)) { outcomes ->
                    val log = FakeTopicLog().also { it.outcomes += outcomes }
                    withAppender(log) { appender -> repeat(4) { appender.append(record("k$it")) } }
                    log.all(topic).map { it.key } shouldBe (0 until 4).map { "k$it" }
                }
            }
        }
        // Guards against one record that holds up the jobs, ends and results of an instance for good.
        describe("a record that the store can never accept") {
            it("is rejected alone; all others stand exactly once, in order, whatever becomes of the attempts") {
                checkAll(50, Arb.list(Arb.enum<AppendOutcome>(), 0..6), Arb.list(Arb.boolean(), 1..8)) {
                        outcomes,
                        large,
                    ->
                    val log = FakeTopicLog().also { it.maxValueBytes = TOO_LARGE - 1 }
                    log.outcomes += outcomes
                    val results = withAppender(log) { appender ->
                        val records = large.mapIndexed { at, isLarge -> record("k$at", if (isLarge) TOO_LARGE else 1) }
                        val appends = records.map { async(start = CoroutineStart.UNDISPATCHED) { appender.append(it) } }
                        withTimeout(20.seconds) { appends.awaitAll() }
                    }
                    results.map { it is TopicAppendResult.Rejected } shouldBe large
                    log.all(topic).map { it.key } shouldBe large.indices.filterNot { large[it] }.map { "k$it" }
                }
            }
            it("is rejected without an attempt if its size or key exceeds the known limits") {
                val log = FakeTopicLog()
                withAppender(log) { appender ->
                    val large = record("k", log.limits.recordBytes)
                    appender.append(large).shouldBeInstanceOf<TopicAppendResult.Rejected>()
                    appender.offer(large, 1.seconds).shouldBeInstanceOf<TopicAppendResult.Rejected>()
                    appender.append(record("k".repeat(256))).shouldBeInstanceOf<TopicAppendResult.Rejected>()
                    val many = List(9) { record("k$it", log.limits.recordBytes - 100) }
                    appender.append(many).shouldBeInstanceOf<TopicAppendResult.Rejected>()
                }
                log.appends shouldBe 0
            }
        }
        describe("a record that is offered") {
            it("is refused only if it will never stand") {
                val log = FakeTopicLog().also { it.outcomes += AppendOutcome.REFUSED }
                withAppender(log) { it.offer(record("k"), 1.seconds) }.shouldBeInstanceOf<TopicAppendResult.Refused>()
                withAppender(log) { it.append(record("other")) }
                log.all(topic).map { it.key } shouldBe listOf("other")
            }
            it("is in doubt, and not refused, once a try of it may have been done") {
                val log = FakeTopicLog().also {
                    it.outcomes +=
                        listOf(AppendOutcome.REQUEST_LOST) + List(50) { AppendOutcome.REFUSED }
                }
                withAppender(log) {
                    it.offer(record("k"), 200.milliseconds)
                }.shouldBeInstanceOf<TopicAppendResult.InDoubt>()
            }
            it("is appended once if the response was lost and the batch is resent") {
                val log = FakeTopicLog().also {
                    it.outcomes +=
                        listOf(AppendOutcome.RESPONSE_LOST, AppendOutcome.REFUSED)
                }
                withAppender(log) { it.offer(record("k"), 5.seconds) } shouldBe TopicAppendResult.Done
                log.all(topic).size shouldBe 1
            }
            it("is refused if it times out in the queue behind a record that the store does not accept") {
                val log = FakeTopicLog().also { it.up = false }
                withAppender(log) { appender ->
                    val first = launch { appender.append(record("first")) }
                    while (log.appends == 0) kotlinx.coroutines.yield()
                    appender.offer(record("second"), 50.milliseconds).shouldBeInstanceOf<TopicAppendResult.Refused>()
                    log.up = true
                    first.join()
                    appender.append(record("third"))
                }
                log.all(topic).map { it.key } shouldBe listOf("first", "third")
            }
        }
    })
