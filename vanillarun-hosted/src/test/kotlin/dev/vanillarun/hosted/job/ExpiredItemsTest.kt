package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemState
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val Retention = 40.seconds

private suspend fun RunnerFixture.stateOfItemSubmitted(age: Duration): ItemState {
    submit("j", items("i", 1), age = age)
    return awaitJob("j") { it.results.isNotEmpty() }.results.single().state
}

class ExpiredItemsTest :
    DescribeSpec({
        describe("an item of a job that is as old as its results are kept, by the clock of this instance") {
            // Guards against items that are aborted too early, as the submission was dated by a clock that is behind.
            listOf(1.milliseconds, 500.milliseconds, 1900.milliseconds).forEach { ahead ->
                it("is run while this clock may be $ahead ahead") {
                    withRunner(jobRetention = Retention) {
                        stateOfItemSubmitted(age = Retention + ahead) shouldBe ItemState.COMPLETED
                    }
                }
            }
        }
        describe("an item of a job that is older than its results are kept, by any clock") {
            it("is aborted") {
                withRunner(jobRetention = Retention) {
                    stateOfItemSubmitted(age = Retention + 5.seconds) shouldBe ItemState.ABORTED
                }
            }
        }
    })
