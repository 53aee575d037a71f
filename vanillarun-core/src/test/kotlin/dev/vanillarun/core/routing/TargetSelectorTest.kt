package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val torino = DataCentre("torino")

private val views =
    arbitrary {
        val count = Arb.int(0..8).bind()
        List(count) { i ->
            TargetView(
                id = TargetId("t$i"),
                dataCentre = if (Arb.boolean().bind()) torino else DataCentre("novara"),
                concurrency = Arb.int(0..8).bind(),
                stats =
                TargetStats(
                    inFlight = Arb.int(0..20).bind(),
                    outstandingWork = Arb.long(0L..5000L).bind(),
                    secondsPerToken = Arb.double(0.0, 1.0).bind(),
                    completions = Arb.int(0..9).bind(),
                ).reported(LoadReport(Arb.int(0..Int.MAX_VALUE).bind(), 0, Instant(Arb.long(0L..99L).bind()))),
                reclaimable = Arb.boolean().bind(),
                costPerHourMilli = Arb.long(0L..9000L).bind(),
                leaving = Arb.boolean().bind(),
                ejected = Arb.boolean().bind(),
            )
        }
    }

class TargetSelectorTest :
    DescribeSpec({
        val selectors =
            mapOf(
                "round robin" to RoundRobinSelector(),
                "least outstanding" to LeastOutstandingSelector,
                "power of two choices" to PowerOfTwoChoicesSelector(Random(1)),
                "expected completion" to ExpectedCompletionSelector(torino, Random(1)),
            )
        selectors.forEach { (name, selector) ->
            describe(name) {
                it("never takes a target that tried or leaves, an ejected one only if no other is left") {
                    checkAll(views, Arb.list(Arb.int(0..7), 0..4), Arb.boolean()) { all, tried, avoid ->
                        val excluded = tried.map { TargetId("t$it") }.toSet()
                        val request = RequestProfile(outputTokens = 10, avoidReclaimable = avoid)
                        val chosen = selector.select(all, request, excluded, Instant(0))
                        val open = all.filter { !it.leaving && it.id !in excluded }
                        val view = all.find { it.id == chosen }
                        (chosen == null) shouldBe open.isEmpty()
                        (view == null || view in open) shouldBe true
                        (view?.ejected ?: false) shouldBe (open.isNotEmpty() && open.all { it.ejected })
                    }
                }
            }
        }

        describe("expected completion on targets of known speed") {
            fun view(name: String, secondsPerToken: Double, report: Int = 0) = TargetView(
                TargetId(name),
                torino,
                concurrency = 2,
                stats =
                TargetStats(secondsPerToken = secondsPerToken, completions = 99)
                    .reported(LoadReport(report, takenAt = Instant(0))),
            )
            val selector = ExpectedCompletionSelector(torino, Random(1))
            val request = RequestProfile(outputTokens = 100)

            it("selects the fast target until its queue makes it the slower one") {
                val fast = view("fast", 0.01)
                val slow = view("slow", 0.1)
                selector.select(listOf(slow, fast), request, emptySet(), Instant(0)) shouldBe fast.id
                val busy = (1..30).fold(fast.stats) { stats, _ -> stats.started(100) }
                selector.select(listOf(slow, fast.copy(stats = busy)), request, emptySet(), Instant(0)) shouldBe slow.id
            }
            it("discounts a load report with its age") {
                val loaded = listOf(view("a", 0.01, report = 8), view("b", 0.015))
                selector.select(loaded, request, emptySet(), Instant(0)).toString() shouldBe "b"
                selector.select(loaded, request, emptySet(), Instant(0) + 60.seconds).toString() shouldBe "a"
            }
            it("prefers the target that caches the prefix, unless it is crowded") {
                val home = view("home", 0.01)
                val other = view("other", 0.01)
                val prompt = RequestProfile(4000, 100, prefix = "p", cachedAt = setOf(home.id))
                selector.select(listOf(home, other), prompt, emptySet(), Instant(0)) shouldBe home.id
                val crowded = home.copy(stats = (1..6).fold(home.stats) { stats, _ -> stats.started(100) })
                selector.select(listOf(crowded, other), prompt, emptySet(), Instant(0)) shouldBe other.id
            }
            it("has room within its own share, and beyond it only if slots are left for other instances") {
                fun busy(own: Int, others: Int) = TargetView(
                    TargetId("t"),
                    torino,
                    8,
                    TargetStats(inFlight = own).reported(LoadReport(own + others, takenAt = Instant(0))),
                )
                    .hasRoom(Instant(0), contenders = 4)
                busy(own = 1, others = 8) shouldBe true
                busy(own = 2, others = 0) shouldBe false
                busy(own = 1, others = 0) shouldBe true
                busy(own = 7, others = 0) shouldBe false
                view("t", 0.1).copy(concurrency = 8).hasRoom(Instant(0), contenders = 1) shouldBe true
                view("t", 0.1).copy(ejected = true).hasRoom(Instant(0), contenders = 1) shouldBe false
                view("t", 0.1).copy(leaving = true).hasRoom(Instant(0), contenders = 1) shouldBe false
            }
            it("gives a returning target few requests until it has completed some") {
                val returning =
                    TargetView(TargetId("back"), torino, 8, TargetStats(inFlight = 1, secondsPerToken = 0.001))
                selector.select(listOf(returning, view("a", 0.1)), request, emptySet(), Instant(0)).toString() shouldBe
                    "a"
            }
        }
    })
