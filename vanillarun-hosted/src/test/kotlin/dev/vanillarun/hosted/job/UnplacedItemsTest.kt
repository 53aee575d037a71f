package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private fun JobView.isComplete() = results.size == job?.items?.size

class UnplacedItemsTest :
    DescribeSpec({
        describe("an item at no engine") {
            it("is reported once a second with the reason") {
                withRunner {
                    setEngines(Behaviour.Unreachable)
                    submit("j", items("i", 30))
                    delay(4.seconds)
                    val reports = recorded.filter { it.name == "item.unplaced" }
                    reports.groupBy { it.at }.values.maxOf { it.size } shouldBe 20
                    reports.groupBy { it.item to it.at.inWholeSeconds }.values.maxOf { it.size } shouldBe 1
                    reports.all { it.attributes.getValue("reason").isNotEmpty() } shouldBe true
                    reports.maxOf { it.attributes.getValue("idle_ms").toLong() } shouldBe
                        reports.last().attributes.getValue("idle_ms").toLong()
                }
            }
            it("is not reported while it runs") {
                withRunner {
                    setEngines(Behaviour.SlowStream(1.seconds))
                    submit("j", items("i", 4))
                    awaitJob("j") { it.isComplete() }
                    recorded.filter { it.name == "item.unplaced" }.shouldBeEmpty()
                    recorded.count { it.name == "slot.first_run" } shouldBe 1
                }
            }
        }
    })
