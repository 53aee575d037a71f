package dev.vanillarun.hosted.job

import dev.vanillarun.hosted.fake.Behaviour
import dev.vanillarun.hosted.fake.FakeCodec
import dev.vanillarun.hosted.job.RunnerFixture.Companion.items
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EvacuatedRunsTest :
    DescribeSpec({
        /** Evacuates the data centre of `e0` amid the runs of [count] items on two engines of four slots. */
        fun evacuating(count: Int, check: suspend RunnerFixture.(moved: List<TimedEvent>) -> Unit) =
            withRunner(engines = 2, dataCentres = listOf("a", "b")) {
                setEngines(Behaviour.SlowStream(0.8.seconds))
                submit("j", items("i", count))
                delay(1.seconds)
                val before = targets.requestedAddresses.count { it == "e0:80" }
                FakeCodec.evacuate(log, "a")
                delay(0.5.seconds)
                check(recorded.filter { it.name == "item.moved" })
                withTimeoutOrNull(60.seconds) { awaitJob("j") { it.results.size == count } }.shouldNotBeNull()
                targets.requestedAddresses.count { it == "e0:80" } shouldBe before
            }

        describe("runs at an engine whose data centre is evacuated") {
            it("go on elsewhere at once, after their last event, while there is room") {
                evacuating(count = 4) { moved ->
                    moved.map { it.attributes["from"] to it.attributes["to"] } shouldBe
                        listOf("e0" to "e1", "e0" to "e1")
                    moved.maxOf { it.at } shouldBeLessThanOrEqualTo 1.seconds + 200.milliseconds
                }
            }
            it("stay where they are while the engines elsewhere are full, and all items end") {
                evacuating(count = 8) { moved -> moved.size shouldBe 0 }
            }
        }
    })
