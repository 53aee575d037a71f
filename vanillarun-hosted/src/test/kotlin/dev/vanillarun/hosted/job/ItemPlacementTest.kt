package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobView
import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.seconds

/** An item may be at no engine for 5 s while there is room; half of that is left for the change of a slot's owner. */
private val MAX_IDLE = 2.5.seconds

private fun JobView.isComplete() = results.size == job?.items?.size

class ItemPlacementTest :
    DescribeSpec({
        describe("items under which engines crashed") {
            // Guards against items that wait for the backoff of every engine after a burst of crashes.
            it("are at an engine soon after the last crash of a burst, whenever that is") {
                (0..16).forEach { quarter ->
                    withRunner {
                        val items = items("i", 8)
                        setEngines(Behaviour.Disconnect)
                        submit("j", items)
                        delay(10.seconds + 0.25.seconds * quarter)
                        setEngines(Behaviour.EventStream())
                        val calm = now
                        withTimeoutOrNull(60.seconds) { awaitJob("j") { it.isComplete() } }.shouldNotBeNull()
                        items.maxOf { sends(it, since = calm).first() - calm } shouldBeLessThanOrEqualTo MAX_IDLE
                    }
                }
            }

            // Guards against an engine that takes one run at a time after a failure, until a long run there has ended.
            it("are at an engine soon although long runs go on at the engines that broke them off") {
                withRunner(engines = 2) {
                    setEngines(Behaviour.SlowStream(1.7.seconds))
                    submit("long", items("l", 2))
                    delay(1.seconds)
                    setEngines(Behaviour.Disconnect)
                    val item = items("i", 1)
                    submit("j", item)
                    delay(0.5.seconds)
                    setEngines(Behaviour.EventStream())
                    val calm = now
                    withTimeoutOrNull(60.seconds) { awaitJob("j") { it.isComplete() } }.shouldNotBeNull()
                    sends(item.single(), since = calm).first() - calm shouldBeLessThanOrEqualTo MAX_IDLE
                }
            }
        }
        describe("engines that are unreachable") {
            it("get a bounded number of attempts however many items wait") {
                withRunner {
                    submit("j", items("i", 100))
                    setEngines(Behaviour.Unreachable)
                    delay(10.seconds)
                    // Four engines: four slots each before the first failure is known, then at most twice a second.
                    targets.requestedAddresses.size shouldBeLessThanOrEqualTo 4 * (4 + 2 * 10)
                }
            }
        }
    })
