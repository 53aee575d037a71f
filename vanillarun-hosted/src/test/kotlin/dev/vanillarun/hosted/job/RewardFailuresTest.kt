package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemState
import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.datatest.withData
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

private fun JobView.isComplete() = results.size == job?.items?.size

private suspend fun RunnerFixture.statesAfter(failure: Behaviour): Set<ItemState> {
    setScorers(failure)
    submit("j", items("i", 4, scored = true))
    delay(20.seconds)
    setScorers(Behaviour.Response())
    val view = withTimeoutOrNull(10.seconds) { awaitJob("j") { it.isComplete() } }.shouldNotBeNull()
    return view.results.mapTo(HashSet()) { it.state }
}

class RewardFailuresTest :
    DescribeSpec({
        // Guards against items that are given up for answers that do not say that their reward call failed, as 504.
        describe("items whose reward calls get server errors other than 500") {
            withData(nameFn = { "are not given up for status $it" }, 501, 502, 503, 504, 507, 599) { status ->
                withRunner { statesAfter(Behaviour.Response(status)) shouldBe setOf(ItemState.COMPLETED) }
            }
        }

        describe("items whose reward calls always fail with 500") {
            it("are given up") {
                withRunner { statesAfter(Behaviour.Response(500)) shouldBe setOf(ItemState.ABORTED) }
            }
        }
    })
