package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemState
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.WHOLE_TEXT
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

private suspend fun RunnerFixture.shouldListWholeTexts(job: String, count: Int) {
    val results = awaitJob(job) { it.results.size == count }.results
    results.map { it.state }.toSet() shouldBe setOf(ItemState.COMPLETED)
    results.map { it.text }.toSet() shouldBe setOf(WHOLE_TEXT)
}

class OverflowingTextsTest :
    DescribeSpec({
        describe("an engine that goes on with valid events after the end of a text") {
            // Guards against texts that grow until the heap is full, and are taken for progress by all later runs.
            it("has its runs ended, and the items are complete with the texts of sound engines") {
                withRunner(engines = 2) {
                    targets.behaviours["e0:80"] = Behaviour.Overflow(
                        excessData = 64 * 1024,
                        excessEvents = 64,
                        interval = 1.milliseconds,
                    )
                    submit("j", items("i", 8))
                    delay(200.milliseconds)
                    setEngines(Behaviour.EventStream())
                    shouldListWholeTexts("j", count = 8)
                    recorded.filter { it.name == "item.run_ended" }
                        .mapNotNull { Regex("after (\\d+) events").find(it.attributes.getValue("end")) }
                        .maxOf { it.groupValues[1].toLong() } shouldBeLessThan 5 + 32
                }
            }

            // Guards against texts that are listed with what a faulty engine has sent beyond their end.
            it("adds nothing to the items if it breaks off soon") {
                withRunner(engines = 2) {
                    targets.behaviours["e0:80"] = Behaviour.Overflow(excessData = 10, excessEvents = 3)
                    submit("j", items("i", 8))
                    awaitEvent { it.name == "item.run_ended" && "interrupted" in it.attributes.getValue("end") }
                    setEngines(Behaviour.EventStream())
                    shouldListWholeTexts("j", count = 8)
                }
            }
        }
    })
