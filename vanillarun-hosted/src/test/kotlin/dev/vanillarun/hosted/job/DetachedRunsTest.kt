package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.WHOLE_TEXT
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SLOTS_OF_ENGINE = 4

private fun JobView.isComplete() = results.size == job?.items?.size

/** The load: steps that end while long items of groups that were not needed are still generated, and come again. */
class DetachedRunsTest :
    DescribeSpec({
        describe("the run of an item whose job has ended") {
            it("goes on, and a later job finds its text without sending it again") {
                withRunner(engines = 1, keepsRuns = true) {
                    setEngines(Behaviour.SlowStream(400.milliseconds))
                    submit("first", items("i", 1))
                    delay(700.milliseconds)
                    end("first")
                    delay(700.milliseconds)
                    submit("second", items("i", 1))
                    awaitJob("second") { it.isComplete() }.results.single().text shouldBe WHOLE_TEXT
                    sends(items("i", 1).single()).size shouldBe 1
                }
            }
            it("has no result if no later job has the item") {
                withRunner(engines = 1, keepsRuns = true) {
                    setEngines(Behaviour.SlowStream(400.milliseconds))
                    submit("first", items("i", 1))
                    delay(700.milliseconds)
                    end("first")
                    delay(5.seconds)
                    recorded.count { it.name == "item.run_ended" } shouldBe 1
                    recorded.none { it.name == "item.recorded" } shouldBe true
                }
            }
            it("is cancelled when its slot is needed") {
                withRunner(engines = 1, keepsRuns = true) {
                    setEngines(Behaviour.SlowStream(1000.milliseconds))
                    submit("first", items("i", SLOTS_OF_ENGINE))
                    delay(500.milliseconds)
                    end("first")
                    delay(100.milliseconds)
                    submit("second", items("k", SLOTS_OF_ENGINE))
                    delay(700.milliseconds)
                    items("k", SLOTS_OF_ENGINE).forEach { sends(it).size shouldBe 1 }
                    awaitJob("second") { it.isComplete() }
                    recorded.count { it.name == "item.run_ended" } shouldBe SLOTS_OF_ENGINE
                }
            }
            it("begins anew for a job that needs newer weights") {
                withRunner(engines = 1, keepsRuns = true) {
                    setEngines(Behaviour.SlowStream(400.milliseconds))
                    submit("first", items("i", 1))
                    delay(700.milliseconds)
                    end("first")
                    delay(100.milliseconds)
                    submit("second", items("i", 1), minVersion = 1)
                    delay(1.seconds)
                    (sends(items("i", 1).single()).size >= 2) shouldBe true
                }
            }
            it("is cancelled at once where runs are not kept") {
                withRunner(engines = 1) {
                    setEngines(Behaviour.SlowStream(400.milliseconds))
                    submit("first", items("i", 1))
                    delay(700.milliseconds)
                    end("first")
                    delay(5.seconds)
                    recorded.none { it.name == "item.run_ended" } shouldBe true
                }
            }
        }
    })
