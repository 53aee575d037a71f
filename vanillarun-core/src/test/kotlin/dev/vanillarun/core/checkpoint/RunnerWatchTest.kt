package dev.vanillarun.core.checkpoint

import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val runner = RunnerId("i-1", startedAt = 1_000)

private fun at(millis: Int) = Instant(0) + millis.milliseconds

/** Guards against an item that two engines generate at a time, since its runner was taken for gone. */
class RunnerWatchTest :
    DescribeSpec({
        describe("a runner that beats each half second, and whose appends take up to a second") {
            it("is never gone, whenever it is read and whatever clocks differ by two seconds") {
                checkAll(Arb.list(Arb.int(0..1000), 20..40), Arb.int(-2000..2000), Arb.int(100..400)) {
                        delays,
                        skew,
                        readEvery,
                    ->
                    val visibleAt = delays.mapIndexed { n, delay -> n * 500 + delay }
                    var watch = RunnerWatch()
                    for (now in 1500..delays.size * 500 step readEvery) {
                        val number = visibleAt.indexOfLast { it <= now }.coerceAtLeast(0)
                        val beat = RunnerBeat(runner.startedAt, number.toLong(), at = number * 500L)
                        watch = watch.observed(mapOf("i-1" to beat), setOf("i-1"), at(now))
                        watch.state(runner, at(now), wallMillis = now.toLong() + skew) shouldNotBe RunnerState.GONE
                    }
                }
            }
        }
        describe("a runner that has ended") {
            val last = RunnerBeat(runner.startedAt, number = 7, at = 5_000)

            fun read(millis: Int, beat: RunnerBeat? = last, watch: RunnerWatch = RunnerWatch()) =
                watch.observed(listOfNotNull(beat).associateBy { "i-1" }, setOf("i-1"), at(millis))

            it("is gone as soon as its instance has started again") {
                read(0, RunnerBeat(startedAt = 2_000, number = 0, at = 2_000)).state(runner, at(0), 2_000) shouldBe
                    RunnerState.GONE
            }
            it("is gone after two seconds without a beat on the clock of the reader") {
                val first = read(0)
                first.state(runner, at(0), 6_000) shouldBe RunnerState.UNKNOWN
                read(2000, watch = first).state(runner, at(2000), 8_000) shouldBe RunnerState.GONE
            }
            it("is gone at once if its last beat is long ago") {
                read(0).state(runner, at(0), 9_000) shouldBe RunnerState.GONE
            }
            it("is gone after two seconds if its beats are lost") {
                val first = read(0, beat = null)
                first.state(runner, at(100), 6_000) shouldBe RunnerState.UNKNOWN
                first.state(runner, at(2000), 8_000) shouldBe RunnerState.GONE
            }
        }
        it("tells how long it takes at most to know that a runner is gone") {
            val beat = RunnerBeat(1_000, number = 1, at = 1_000)
            checkAll(Arb.int(0..3000), Arb.int(-2000..2000)) { elapsed, skew ->
                val watch = RunnerWatch().observed(mapOf("i-1" to beat), setOf("i-1"), at(0))
                val wall = { millis: Int -> 2_000L + millis + skew }
                val left = watch.timeUntilKnown(runner, at(elapsed), wall(elapsed))
                val then = elapsed + left.inWholeMilliseconds.toInt()
                watch.state(runner, at(then), wall(then)) shouldBe RunnerState.GONE
                if (left > 1.milliseconds) {
                    watch.state(runner, at(then - 1), wall(then - 1)) shouldBe RunnerState.UNKNOWN
                }
            }
        }
        it("knows nothing of a runner that was not read") {
            RunnerWatch().state(runner, at(60_000), 60_000) shouldBe RunnerState.UNKNOWN
        }
        it("says that a runner runs as soon as it has given another beat") {
            val first = RunnerWatch().observed(mapOf("i-1" to RunnerBeat(1_000, 1, 0)), setOf("i-1"), at(0))
            first.observed(mapOf("i-1" to RunnerBeat(1_000, 2, 0)), setOf("i-1"), at(10))
                .state(runner, at(3000), wallMillis = 90_000) shouldBe RunnerState.RUNNING
        }
        it("has an unmeasured margin in the silence of four beats") {
            (RunnerWatch.SILENCE >= RunnerWatch.BEAT_INTERVAL * 4) shouldBe true
            (RunnerWatch.LONG_SILENCE - RunnerWatch.SILENCE) shouldBe 2.seconds
        }
    })
