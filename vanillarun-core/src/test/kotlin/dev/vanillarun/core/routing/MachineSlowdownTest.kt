package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val centre = DataCentre("a")
private val start = Instant(0)

private fun target(
    id: String,
    spt: Double,
    slowdown: Double?,
    reportedAt: Instant = start,
    observedAt: Instant = start,
) = TargetView(
    TargetId(id),
    centre,
    concurrency = 4,
    TargetStats(
        secondsPerToken = spt,
        report = LoadReport(0, takenAt = reportedAt, slowdown = slowdown),
        observedAt = observedAt,
    ),
)

/** Number of [calls] that go to [id]. */
private fun share(id: String, targets: List<TargetView>, now: Instant, seed: Int, calls: Int = 60): Int {
    val selector = ExpectedCompletionSelector(centre, Random(seed), CompletionParameters.ForCalls)
    return (1..calls).count { selector.select(targets, RequestProfile(), emptySet(), now)?.value == id }
}

/** Time of the first call, of one each 50 ms, that goes to a target that seemed three times as slow as the others. */
private fun firstReturn(slowdown: Double?, seed: Int): Duration? {
    val selector = ExpectedCompletionSelector(centre, Random(seed), CompletionParameters.ForCalls)
    return generateSequence(start) { it + 50.milliseconds }.takeWhile { it - start < 60.seconds }.firstOrNull { now ->
        val others = (1..3).map { target("t$it", 0.04, slowdown, now, observedAt = now) }
        val targets = others + target("slow", 0.12, slowdown, now)
        selector.select(targets, RequestProfile(), emptySet(), now)?.value == "slow"
    }?.let { it - start }
}

class MachineSlowdownTest :
    DescribeSpec({
        describe("short calls, while the machine of one of several equal targets is shared for a moment") {
            fun targets(slowdown: Double, reportedAt: Instant = start) =
                listOf(target("a", 0.04, slowdown, reportedAt), target("b", 0.04, 1.0), target("c", 0.04, 1.0))

            it("go elsewhere while the report is fresh") {
                checkAll(Arb.int(), Arb.int(0..150)) { seed, age ->
                    share("a", targets(2.5), start + age.milliseconds, seed) shouldBe 0
                }
            }
            it("come back when it is old, and at once when a newer one says that work takes as long as usual") {
                checkAll(Arb.int()) { seed ->
                    share("a", targets(2.5), start + 2.seconds, seed) shouldNotBe 0
                    val now = start + 50.milliseconds
                    share("a", targets(1.0, now), now, seed) shouldNotBe 0
                }
            }
        }
        describe("a long sample") {
            it("goes to the faster engine although its machine is slow at the moment, a short one does not") {
                val engines = listOf(target("fast", 0.01, 2.5), target("other", 0.012, 1.0))
                val selector = ExpectedCompletionSelector(null, Random(1), CompletionParameters.ForSamples)
                fun choose(tokens: Long) = selector.select(engines, RequestProfile(0, tokens), emptySet(), start)?.value
                choose(1000) shouldBe "fast"
                choose(10) shouldBe "other"
            }
        }
        describe("a target that was slow, and then got nothing, under a steady load of calls") {
            it("is tried again within a minute by a real call, but not in the first two seconds") {
                checkAll(Arb.int()) { seed ->
                    val at = firstReturn(slowdown = 1.0, seed)
                    (at != null && at > 2.seconds) shouldBe true
                }
            }
            it("keeps its speed where targets do not report their slowdown, as in earlier deployments") {
                checkAll(Arb.int()) { seed -> firstReturn(slowdown = null, seed) shouldBe null }
            }
        }
    })
