package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.math.max
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private const val SLOTS = 4
private val local = DataCentre("a")
private val now = Instant(0) + 10_000.milliseconds

private val views = arbitrary {
    List(Arb.int(1..9).bind()) { i ->
        val inFlight = Arb.int(0..9).bind()
        val age = Arb.int(0..1500).bind().milliseconds
        val report = LoadReport(Arb.int(0..SLOTS).bind(), Arb.int(0..6).bind(), now - age)
        TargetView(
            TargetId("t$i"),
            if (Arb.boolean().bind()) local else DataCentre("b"),
            SLOTS,
            TargetStats(inFlight, inFlight.toLong(), Arb.int(0..90).bind() / 1000.0, report = report),
            connected = Arb.boolean().bind(),
        )
    }
}

/** The expected latency of earlier deployments, in seconds. */
private fun latency(view: TargetView, all: List<TargetView>): Double {
    val assumed = all.map { it.stats.secondsPerToken }.filter { it > 0.0 }.minOrNull() ?: 0.02
    val report = view.stats.report?.takeIf { now - it.takenAt < 500.milliseconds }
    val busy = max(view.stats.inFlight, report?.total ?: 0)
    val queued = max(0, busy + 1 - SLOTS).toDouble() / SLOTS
    val connection = if (view.connected) 1.0 else 1.8
    val zone = if (view.dataCentre == local) 1.0 else 1.3
    val known = view.stats.secondsPerToken.takeIf { it > 0.0 } ?: assumed
    return known * (1 + 0.5 * busy / SLOTS + queued) * connection * zone
}

class CallSelectionTest :
    DescribeSpec({
        describe("calls of earlier deployments, whose targets report three figures") {
            it("go to the target with the lowest expected latency, within the random part of 0.3") {
                checkAll(views, Arb.int()) { all, seed ->
                    val selector = ExpectedCompletionSelector(local, Random(seed), CompletionParameters.ForCalls)
                    val id = selector.select(all, RequestProfile(), emptySet(), now)
                    val chosen = all.first { it.id == id }
                    val best = all.minOf { latency(it, all) }
                    (latency(chosen, all) <= best * 1.3 * (1 + 1e-9)) shouldBe true
                }
            }
            it("go to the very best one without the random part") {
                val params = CompletionParameters.ForCalls.copy(jitter = 0.0, tolerance = 1e-9)
                checkAll(views) { all ->
                    val selector = ExpectedCompletionSelector(local, Random(1), params)
                    val id = selector.select(all, RequestProfile(), emptySet(), now)
                    val chosen = all.first { it.id == id }
                    (latency(chosen, all) <= all.minOf { latency(it, all) } * (1 + 1e-8)) shouldBe true
                }
            }
        }
    })
