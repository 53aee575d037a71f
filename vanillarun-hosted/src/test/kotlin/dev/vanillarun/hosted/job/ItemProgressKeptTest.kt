package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.job.RunnerFixture.Companion.WHOLE_TEXT
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private fun JobView.isComplete() = results.size == job?.items?.size

private fun JobView.text(item: String) = results.single { it.item.value == item }.text

class ItemProgressKeptTest :
    DescribeSpec({
        describe("items whose text waits for its score") {
            // Guards against a result without text, recorded after the progress of all items was dropped.
            it("keep their text while many other items wait") {
                withRunner {
                    setScorers(Behaviour.Silence)
                    submit("j", items("i", 2, scored = true))
                    delay(1.seconds)
                    setEngines(Behaviour.Silence)
                    submit("many", items("m", 8200))
                    delay(2.seconds)
                    setScorers(Behaviour.Response())
                    val view = awaitJob("j") { it.isComplete() }
                    view.results.map { it.text }.toSet() shouldBe setOf(WHOLE_TEXT)
                }
            }

            // Guards against a result without text, recorded while a later job has restarted the same item.
            it("keep their text while a later job needs newer weights for the same item") {
                withRunner {
                    setScorers(Behaviour.Silence)
                    val items = items("i", 1, scored = true)
                    submit("j", items)
                    delay(1.seconds)
                    submit("later", items, minVersion = 1)
                    delay(1.seconds)
                    setScorers(Behaviour.Response())
                    awaitJob("j") { it.isComplete() }.text("i0") shouldBe WHOLE_TEXT
                }
            }
        }
        describe("an item whose text is partly received") {
            // Guards against runs that start from the beginning after the progress of all items was dropped.
            it("resumes after the last event while many other items wait") {
                withRunner(engines = 1) {
                    setEngines(Behaviour.EventStream(breakAfter = 3))
                    submit("j", items("i", 1))
                    delay(0.01.seconds)
                    awaitRunEnd("i0")
                    setEngines(Behaviour.Unreachable)
                    submit("many", items("m", 8200))
                    delay(3.seconds)
                    val calm = now
                    setEngines(Behaviour.SlowStream(0.02.seconds))
                    awaitJob("j") { it.isComplete() }.text("i0") shouldBe WHOLE_TEXT
                    recorded.filter { it.name == "item.sent" && it.item == "i0" && it.at >= calm }
                        .map { it.attributes["after_event"] }.toSet() shouldBe setOf("3")
                }
            }
        }
        describe("progress of items whose jobs are closed") {
            it("is evicted oldest first, and never that of open items") {
                checkAll(20, Arb.int(0..3000), Arb.int(8000..12_000)) { open, closed ->
                    val table = ItemTable(ManualClock())
                    val openItems = items("o", open)
                    val closedItems = items("c", closed)
                    (openItems.take(open / 2) + closedItems + openItems.drop(open / 2))
                        .forEach { table.progress[it.id] = ItemProgress() }
                    val job = Job(JobId("j"), null, "h", "/", submittedAt = 0, items = openItems)
                    table.cancelClosed(listOf(JobView(job)))
                    table.progress.keys.containsAll(openItems.map { it.id }) shouldBe true
                    val kept = closedItems.map { it.id }.filter { it in table.progress }
                    kept shouldBe closedItems.map { it.id }.takeLast(minOf(closed, 8192))
                }
            }
        }
    })

private suspend fun RunnerFixture.awaitRunEnd(item: String) {
    while (recorded.none { it.name == "item.run_ended" && it.item == item }) delay(0.005.seconds)
}
