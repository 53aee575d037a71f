package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.RequestKind
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.ManualClock
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

internal val Route =
    CatalogRoute("r", "h", "/gen/", RequestKind.ROLLOUT, emptyList(), timeout = 2.seconds, objective = 1.seconds)

class ItemTableTest :
    DescribeSpec({
        describe("the rewards of a job with many items") {
            // Guards against rewards of single items that come last, as if all of them had to be complete together.
            it("wait for no others if the items have no group, and for their own group otherwise") {
                val single = items("i", 8)
                val grouped = items("g", 4).map { it.copy(group = "a") }
                val job = Job(JobId("j"), null, "h", "/gen/", 0, minVersion = 0, items = single + grouped)
                val table = ItemTable(ManualClock(), wallClock = { 0 })
                fun openItems(index: Int) =
                    table.rewardGroup(SampleTask(job, job.items[index], Route), JobView(job)).openItems
                job.items.indices.map(::openItems) shouldBe List(8) { 1 } + List(4) { 4 }
            }
        }
    })
