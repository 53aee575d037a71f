package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

private const val ITEMS = 16

private fun JobView.isComplete() = results.size == job?.items?.size

private fun RunnerFixture.rewardSends() = targets.requestedAddresses.count { it.startsWith("s") }

class RewardsUnderShortageTest :
    DescribeSpec({
        describe("the rewards of a group that ends at once, at a service that refuses them all") {
            it("are sent a bounded number of times, and listed soon after the service has room") {
                withRunner {
                    setScorers(Behaviour.Response(503, notRun = true))
                    submit("j", items("i", ITEMS, scored = true))
                    delay(10.seconds)
                    // One try and one at another target for each item, then at most two rounds a second.
                    rewardSends() shouldBeLessThanOrEqualTo 2 * ITEMS + 2 * 10
                    setScorers(Behaviour.Response())
                    withTimeoutOrNull(3.seconds) { awaitJob("j") { it.isComplete() } }.shouldNotBeNull()
                }
            }
            it("are sent no more once their job has ended") {
                withRunner {
                    setScorers(Behaviour.Response(503, notRun = true))
                    submit("j", items("i", ITEMS, scored = true))
                    delay(2.seconds)
                    JobRecords.encode(JobRecord.Ended(JobId("j")), "caller").forEach { log.put(JobBoard.Topic, it) }
                    awaitJob("j") { it.ended }
                    delay(1.seconds)
                    val sends = rewardSends()
                    delay(10.seconds)
                    rewardSends() shouldBe sends
                }
            }
        }

        describe("the rewards of a group while their service has no target at all") {
            // Guards against one customer's shortage of targets that throttles the route for all others.
            it("leave the window of the route open") {
                withRunner(scorers = 0) {
                    submit("j", items("i", ITEMS, scored = true))
                    delay(10.seconds)
                    recorded.count { it.name == "reward.retried" } shouldBeGreaterThan 0
                    recorded.count { it.name == "reward.window" } shouldBe 0
                }
            }
        }
    })
