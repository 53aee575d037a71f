package dev.vanillarun.hosted.job

import dev.vanillarun.core.checkpoint.RunnerBeat
import dev.vanillarun.core.checkpoint.RunnerId
import dev.vanillarun.core.checkpoint.TextPart
import dev.vanillarun.core.checkpoint.TextPartKey
import dev.vanillarun.core.job.ItemState
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.hosted.checkpoint.ProgressTopics
import dev.vanillarun.hosted.job.RunnerFixture.Companion.WHOLE_TEXT
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private val earlier = RunnerId("earlier", startedAt = 1)

/** The load: jobs whose instance was lost while their items were generated. */
class TakenOverItemsTest :
    DescribeSpec({
        describe("items of a job that was taken over") {
            fun RunnerFixture.save(item: String, version: Long = 0) {
                val key = TextPartKey(JobId("j"), items("i", 2).first { it.id.value == item }.id, earlier, 0, first = 1)
                val part = TextPart(List(3) { "" }, setOf(version), version)
                log.put(ProgressTopics.Texts, TopicRecord("$key", part.encode()))
                val restarted = RunnerBeat(earlier.startedAt + 1, number = 0, at = 0)
                log.put(ProgressTopics.Runners, ProgressTopics.record(earlier.instance, restarted))
            }

            fun RunnerFixture.firstSend(item: String) =
                recorded.first { it.name == "item.sent" && it.item == item }.attributes["after_event"]

            it("go on after the saved text, and the others begin anew") {
                withRunner {
                    save("i0")
                    submit("j", items("i", 2), age = 5.seconds)
                    val view = awaitJob("j") { it.results.size == 2 }
                    firstSend("i0") shouldBe "3"
                    firstSend("i1") shouldBe "0"
                    view.results.forEach { it.state shouldBe ItemState.COMPLETED }
                    view.results.forEach { it.text shouldBe WHOLE_TEXT }
                }
            }
            it("begin anew if the saved text is of weights that are too old for the job") {
                withRunner {
                    save("i0", version = 0)
                    submit("j", items("i", 1), minVersion = 1, age = 5.seconds)
                    val sent = awaitEvent { it.name == "item.sent" && it.item == "i0" }
                    sent.attributes["after_event"] shouldBe "0"
                }
            }
        }
        it("a job that was submitted just now is not looked up") {
            withRunner {
                submit("j", items("i", 1))
                awaitJob("j") { it.results.size == 1 }
                log.snapshotReads.none { it == TextPartKey.prefix(JobId("j")) } shouldBe true
            }
        }
    })
