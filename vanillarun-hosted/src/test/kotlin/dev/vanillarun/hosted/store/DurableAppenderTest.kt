package dev.vanillarun.hosted.store

import dev.vanillarun.core.store.TopicAppend
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.fake.Fate
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
        suspend fun <T> running(log: FakeTopicLog, use: suspend CoroutineScope.(DurableAppender) -> T): T =
            coroutineScope {
                val appender = DurableAppender(log, topic, producer = "p")
                launch { appender.run() }
                use(appender).also { coroutineContext.cancelChildren() }
            }

        describe("a record that is kept") {
            it("stands exactly once, in order, whatever becomes of the tries") {
                checkAll(20, Arb.list(Arb.enum<Fate>(), 0..4)) { fates ->
                    val log = FakeTopicLog().also { it.fates += fates }
                    running(log) { appender -> repeat(4) { appender.append(record("k$it")) } }
                    log.all(topic).map { it.key } shouldBe (0 until 4).map { "k$it" }
                }
            }
        }
        describe("a record that is offered") {
            it("is refused only if it will never stand") {
                val log = FakeTopicLog().also { it.fates += Fate.REFUSED }
                running(log) { it.offer(record("k"), 1.seconds) }.shouldBeInstanceOf<TopicAppend.Refused>()
                running(log) { it.append(record("other")) }
                log.all(topic).map { it.key } shouldBe listOf("other")
            }
            it("is in doubt, and not refused, once a try of it may have been done") {
                val log = FakeTopicLog().also { it.fates += listOf(Fate.LOST) + List(50) { Fate.REFUSED } }
                running(log) { it.offer(record("k"), 200.milliseconds) }.shouldBeInstanceOf<TopicAppend.InDoubt>()
            }
            it("stands once if the answer was lost and the batch is sent again") {
                val log = FakeTopicLog().also { it.fates += listOf(Fate.ANSWER_LOST, Fate.REFUSED) }
                running(log) { it.offer(record("k"), 5.seconds) } shouldBe TopicAppend.Done
                log.all(topic).size shouldBe 1
            }
            it("is refused while it waits behind others that the store does not take") {
                val log = FakeTopicLog().also { it.up = false }
                running(log) { appender ->
                    val first = launch { appender.append(record("first")) }
                    while (log.appends == 0) kotlinx.coroutines.yield()
                    appender.offer(record("second"), 50.milliseconds).shouldBeInstanceOf<TopicAppend.Refused>()
                    log.up = true
                    first.join()
                    appender.append(record("third"))
                }
                log.all(topic).map { it.key } shouldBe listOf("first", "third")
            }
        }
    })
