package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.job.RunnerFixture.Companion.WHOLE_TEXT
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

/** Time in which a step allows an item to be idle, for results that are listed late. */
private val MAX_UNLISTED = 5.seconds

private fun JobView.isComplete() = results.size == job?.items?.size

private fun JobView.text(item: String) = results.single { it.item.value == item }.text

class LostResultTest :
    DescribeSpec({
        describe("a result that the store confirms and then loses") {
            // Guards against an item that is taken for recorded for good, though its result is never listed.
            it("is recorded again") {
                withRunner {
                    log.appendsToForget++
                    submit("j", items("i", 1))
                    val view = withTimeoutOrNull(MAX_UNLISTED) { awaitJob("j") { it.isComplete() } }.shouldNotBeNull()
                    view.text("i0") shouldBe WHOLE_TEXT
                }
            }
            it("has another key, so that compaction keeps the position of the first if it appears after all") {
                withRunner {
                    log.appendsToForget++
                    submit("j", items("i", 1))
                    delay(MAX_UNLISTED)
                    val keys = log.all(JobBoard.Topic).map { it.key }.filter { it.startsWith("result/j/i0/") }
                    keys.size shouldBe 1
                    keys.filter { it == "result/j/i0/w" }.shouldBeEmpty()
                }
            }
            it("does not make the item run or score once more") {
                withRunner {
                    log.appendsToForget++
                    val items = items("i", 1, scored = true)
                    submit("j", items)
                    withTimeoutOrNull(MAX_UNLISTED) { awaitJob("j") { it.isComplete() } }.shouldNotBeNull()
                    sends(items.single()).size shouldBe 1
                    targets.requestedAddresses.count { it.startsWith("s") } shouldBe 1
                }
            }
        }
    })
