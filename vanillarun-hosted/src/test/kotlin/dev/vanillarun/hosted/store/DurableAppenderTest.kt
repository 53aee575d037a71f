package dev.vanillarun.hosted.store

import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.hosted.fake.AppendOutcome
import dev.vanillarun.hosted.fake.FakeTopicLog
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val topic = TopicName("t", keyed = true)

private fun record(key: String) = TopicRecord(key, byteArrayOf(1))

class DurableAppenderTest :
    DescribeSpec({
        suspend fun <T> withAppender(log: FakeTopicLog, use: suspend CoroutineScope.(DurableAppender) -> T): T =
            coroutineScope {
                val appender = DurableAppender(log, topic, producer = "p")
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
