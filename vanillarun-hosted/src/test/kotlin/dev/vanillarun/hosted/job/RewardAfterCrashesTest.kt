package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemState
import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

/** Time in which a step allows an item to be idle, for results that are listed late. */
private val MAX_UNLISTED = 5.seconds

private fun JobView.isComplete() = results.size == job?.items?.size

class RewardAfterCrashesTest :
    DescribeSpec({
        describe("items whose text waits for its score") {
            // Guards against a reward call that is refused for good because targets crashed while they served it.
            it("are listed after a burst of crashes under the reward call") {
                withRunner {
                    setScorers(Behaviour.Disconnect)
                    submit("j", items("i", 4, scored = true))
                    delay(10.seconds)
                    setScorers(Behaviour.Response())
                    val view = withTimeoutOrNull(MAX_UNLISTED) { awaitJob("j") { it.isComplete() } }.shouldNotBeNull()
                    view.results.map { it.state }.toSet() shouldBe setOf(ItemState.COMPLETED)
                }
            }
        }
    })
