package dev.vanillarun.hosted.job

import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

/** Slots of the only engine. */
private const val SLOTS = 4

class GroupOrderTest :
    DescribeSpec({
        describe("two jobs that ask for more slots than the engines have") {
            // Guards against engines that are spent on groups which can no longer be in time.
            it("share them so that the one that can still be whole in time goes before the late one") {
                withRunner(engines = 1) {
                    setEngines(Behaviour.SlowStream(0.3.seconds))
                    submit("late", items("l", 5 * SLOTS))
                    delay(2.5.seconds) // the objective of the fixture's jobs has passed
                    submit("new", items("n", SLOTS))
                    val submitted = now
                    delay(8.seconds)
                    val sent = recorded.filter {
                        it.name == "item.sent" && it.at >= submitted
                    }.map { it.item.orEmpty() }
                    sent.take(SLOTS).count { it.startsWith("n") } shouldBeGreaterThanOrEqualTo SLOTS - 1
                }
            }
        }
    })
