package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.orNull
import io.kotest.property.checkAll
import kotlin.random.Random

private const val SLOTS = 8
private val now = Instant(0)

private fun engine(name: String, running: Int, paceMs: Int?): TargetView {
    val speed = (paceMs ?: 0) / 1000.0
    val stats = TargetStats(inFlight = running, outstandingWork = running * 100L, secondsPerToken = speed)
    return TargetView(TargetId(name), DataCentre("z"), SLOTS, stats)
}

/** The expected interval between two events, as earlier deployments estimate it, in seconds. */
private fun interval(engine: TargetView, engines: List<TargetView>): Double {
    val known = engines.map { it.stats.secondsPerToken }.filter { it > 0.0 }.sorted()
    val median = known.getOrNull(known.size / 2) ?: 1.0
    return (engine.stats.secondsPerToken.takeIf { it > 0.0 } ?: median) * (1 + 0.035 * engine.stats.inFlight)
}

class SampleSelectionTest :
    DescribeSpec({
        val selector = ExpectedCompletionSelector(null, Random(1), CompletionParameters.ForSamples)
        val request = RequestProfile(outputTokens = 100)

        fun choose(vararg engines: TargetView): String? {
            val full = engines.filter { it.stats.inFlight >= it.concurrency }.map { it.id }.toSet()
            return selector.select(engines.toList(), request, full, now)?.value
        }

        describe("samples in a fleet of engines of different speeds") {
            it("fill a fast engine before a slow one") {
                choose(engine("slow", 0, 60), engine("fast", 7, 25)) shouldBe "fast"
            }
            it("use the slow engine once the fast one is full") {
                choose(engine("slow", 0, 60), engine("fast", 8, 25)) shouldBe "slow"
            }
            it("are balanced between engines of equal speed") {
                choose(engine("a", 3, 30), engine("b", 1, 30)) shouldBe "b"
            }
            it("go to none if all engines are full") {
                choose(engine("a", 8, 30)) shouldBe null
            }
            it("go where they went in earlier deployments, whatever is known of the engines") {
                val engines = arbitrary {
                    Arb.list(Arb.int(0..SLOTS), 1..9).bind().mapIndexed { i, running ->
                        engine("e$i", running, Arb.int(5..90).orNull(0.2).bind())
                    }
                }
                checkAll(engines) { all ->
                    val free = all.filter { it.stats.inFlight < SLOTS }
                    val chosen = free.find { it.id.value == choose(*all.toTypedArray()) }
                    (chosen == null) shouldBe free.isEmpty()
                    if (chosen != null) {
                        val best = free.minOf { interval(it, all) }
                        (interval(chosen, all) <= best * (1 + 1e-9)) shouldBe true
                        free.first { it.stats == chosen.stats } shouldBe chosen
                    }
                }
            }
        }

        describe("a run on a degraded engine") {
            val slow = engine("slow", 4, 120)
            fun faster(vararg others: TargetView): String? = RelocationPolicy(minSpeedup = 3.0)
                .fasterTarget(slow, listOf(slow, *others), selector, request, now)?.value

            it("moves to a much faster one with a free slot, and to no other") {
                faster(engine("fast", 3, 30)) shouldBe "fast"
                faster(engine("fast", 8, 30)) shouldBe null
                faster(engine("near", 0, 50)) shouldBe null
                faster(engine("unknown", 0, null)) shouldBe null
            }
        }
    })
