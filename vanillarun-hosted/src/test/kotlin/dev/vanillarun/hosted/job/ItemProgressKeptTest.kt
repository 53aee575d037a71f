package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.WHOLE_TEXT
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
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
    })
