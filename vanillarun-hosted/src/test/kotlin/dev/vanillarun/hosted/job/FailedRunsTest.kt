package dev.vanillarun.hosted.job

import dev.vanillarun.hosted.job.RunnerFixture.Companion.WHOLE_TEXT
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class FailedRunsTest :
    DescribeSpec({
        // Guards against items that count as running for good because the failure of their run was not recorded.
        describe("an item whose run fails while there is no memory for the record of that") {
            it("is run again") {
                withRunner {
                    var failures = 2
                    targets.beforeSend = { if (failures-- > 0) throw OutOfMemoryError("run") }
                    onEvent = { if (it == "item.run_failed") throw OutOfMemoryError("record") }
                    submit("j", items("i", 4))
                    val view = awaitJob("j") { it.results.size == 4 }
                    view.results.map { it.text }.toSet() shouldBe setOf(WHOLE_TEXT)
                }
            }
        }
    })
