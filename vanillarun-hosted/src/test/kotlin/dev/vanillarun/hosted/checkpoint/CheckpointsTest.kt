package dev.vanillarun.hosted.checkpoint

import dev.vanillarun.core.checkpoint.RunnerId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.hosted.fake.FakeTopicLog
import dev.vanillarun.hosted.store.DurableAppender
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val job = JobId("j")
private val item = ItemId("i")

/** Instances that share a store, in virtual time. */
private class Instances(private val scope: TestScope) {
    val log = FakeTopicLog()
    private val clock = MonotonicClock { Instant(scope.currentTime.milliseconds.inWholeNanoseconds) }
    private val wallClock = { scope.currentTime }

    /** A process of instance [name] that generates [growing], started now. */
    inner class Process(name: String, growing: () -> List<GrowingText> = { emptyList() }) {
        private val self = RunnerId(name, wallClock())
        private val topics = ProgressTopics(log)
        private val texts = DurableAppender(log, ProgressTopics.Texts, "$self", NoOpEventRecorder)
        private val beats = DurableAppender(log, ProgressTopics.Runners, "$self", NoOpEventRecorder)
        val saver = ProgressSaver(texts, beats, topics, self, { true }, clock, wallClock)
        val recovery = ProgressRecovery(topics, self, clock, wallClock, NoOpEventRecorder)
        private val work = scope.backgroundScope.launch {
            launch { texts.run() }
            launch { beats.run() }
            saver.run(growing)
        }

        suspend fun end() = work.cancelAndJoin()

        /** Takes the job over and returns the text of the item, and how long it was held. */
        suspend fun takeOver(id: JobId = job): Pair<List<String>?, Duration> {
            val since = scope.currentTime
            recovery.owned(scope.backgroundScope, Job(id, null, "h", "/", submittedAt = since - 5_000)) {}
            while (recovery.holds(id, item)) delay(5.milliseconds)
            return recovery.take(id, item)?.transcript?.eventData to (scope.currentTime - since).milliseconds
        }
    }

    /** A text that grows by an event each 50 ms from now on. */
    fun growing(id: JobId = job): () -> List<GrowingText> {
        val since = scope.currentTime
        return { listOf(GrowingText(id, item, text(((scope.currentTime - since) / 50).toInt()))) }
    }
}

private fun text(events: Int) = Transcript(List(events) { "e$it" }.toPersistentList())

private fun withInstances(test: suspend Instances.() -> Unit) = runTest { Instances(this).test() }

/** The load: long items, whose instance ends in the middle, and an objective that leaves no time to begin anew. */
class CheckpointsTest :
    DescribeSpec({
        describe("an item of an instance that has ended") {
            it("goes on at once, after all but the last second of its text, when that instance has started again") {
                withInstances {
                    Process("a", growing()).run {
                        delay(4.seconds)
                        end()
                    }
                    delay(1.seconds)
                    Process("a")
                    delay(50.milliseconds)
                    val (text, held) = Process("b").takeOver()
                    (text.orEmpty().size >= 60) shouldBe true
                    text shouldBe List(text.orEmpty().size) { "e$it" }
                    (held < 300.milliseconds) shouldBe true
                }
            }
            it("goes on once that instance has been silent for two seconds") {
                withInstances {
                    Process("a", growing()).run {
                        delay(4.seconds)
                        end()
                    }
                    val (text, held) = Process("b").takeOver()
                    (text.orEmpty().size >= 60) shouldBe true
                    (held in 1.5.seconds..2.5.seconds) shouldBe true
                }
            }
            it("goes on at its own instance when that has started again") {
                withInstances {
                    Process("a", growing()).run {
                        delay(4.seconds)
                        end()
                    }
                    delay(1.seconds)
                    (Process("a").takeOver().first.orEmpty().size >= 60) shouldBe true
                }
            }
            // Guards against beats that are forgotten while those of another job's runner are read.
            it("goes on beside that of another job, whose instance has ended too") {
                withInstances {
                    val ended = listOf(Process("a", growing()), Process("c", growing(JobId("k"))))
                    delay(4.seconds)
                    ended.forEach { it.end() }
                    val successor = Process("b")
                    val texts = coroutineScope {
                        listOf(job, JobId("k")).map { async { successor.takeOver(it).first } }.awaitAll()
                    }
                    texts.forEach { (it.orEmpty().size >= 60) shouldBe true }
                }
            }
            // Guards against items that wait in vain, as it takes longer to know of the runner.
            it("begins anew at once if its text is worth less than the wait") {
                withInstances {
                    Process("a", growing()).run {
                        delay(1700.milliseconds)
                        end()
                    }
                    val (text, held) = Process("b").takeOver()
                    text shouldBe null
                    (held < 100.milliseconds) shouldBe true
                }
            }
        }
        describe("an item of an instance that still runs") {
            // Guards against an item that two engines generate at a time.
            it("is not taken, and begins anew as soon as the instance has given a sign of life") {
                withInstances {
                    Process("a", growing())
                    delay(4.seconds)
                    val (text, held) = Process("b").takeOver()
                    text shouldBe null
                    (held < 1.seconds) shouldBe true
                }
            }
            it("is not taken from the one that has taken it over before") {
                withInstances {
                    Process("a", growing()).run {
                        delay(4.seconds)
                        end()
                    }
                    delay(4.seconds)
                    val second = Process("b", growing())
                    val found = second.takeOver().first.orEmpty()
                    second.saver.adopt(GrowingText(job, item, text(found.size))) shouldBe true
                    delay(100.milliseconds)
                    Process("c").takeOver().first shouldBe null
                }
            }
        }
        describe("while the store is away") {
            it("items wait for less than half a second") {
                withInstances {
                    val instance = Process("b")
                    log.up = false
                    val (text, held) = instance.takeOver()
                    text shouldBe null
                    (held <= 450.milliseconds) shouldBe true
                }
            }
            it("no text is taken for adopted") {
                withInstances {
                    val instance = Process("b")
                    log.up = false
                    instance.saver.adopt(GrowingText(job, item, text(10))) shouldBe false
                }
            }
        }
        it("texts are saved in parts, once they are worth a second, and dropped when their items are done") {
            withInstances {
                val growth = growing()
                var isDone = false
                Process("a") { if (isDone) emptyList() else growth() }
                delay(1.seconds)
                log.all(ProgressTopics.Texts).size shouldBe 0
                delay(3.seconds)
                val parts = log.all(ProgressTopics.Texts)
                (parts.size in 3..6) shouldBe true
                isDone = true
                delay(2.seconds)
                val newest = log.all(ProgressTopics.Texts).associateBy { it.key }
                newest.values.all { it.value == null } shouldBe true
            }
        }
    })
