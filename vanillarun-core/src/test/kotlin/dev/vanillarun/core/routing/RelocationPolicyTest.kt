package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll

class RelocationPolicyTest :
    DescribeSpec({
        fun view(name: String, secondsPerToken: Double, inFlight: Int = 0) =
            TargetView(TargetId(name), DataCentre("brest"), 2, TargetStats(inFlight, secondsPerToken = secondsPerToken))
        val slow = StreamingRequest("s", TargetId("slow"), 0.1, generatedTokens = 100, expectedTokens = 200)

        describe("a relocation policy") {
            it("moves requests only to a free slot on a faster target, and terminates") {
                val speeds = Arb.list(Arb.pair(Arb.double(0.001, 1.0), Arb.int(0..3)), 1..6)
                checkAll(speeds, Arb.list(Arb.pair(Arb.int(0..5), Arb.long(0L..900L)), 0..8)) { targets, requests ->
                    var views = targets.mapIndexed { i, (secondsPerToken, busy) -> view("t$i", secondsPerToken, busy) }
                    var running =
                        requests.mapIndexed { i, (at, done) ->
                            val target = views[at % views.size]
                            StreamingRequest(i, target.id, target.stats.secondsPerToken, done, expectedTokens = 300)
                        }
                    var moves = 0
                    while (true) {
                        val move = RelocationPolicy().relocate(running, views, Instant(0)) ?: break
                        val request = running.first { it.key == move.key }
                        val to = views.first { it.id == move.to }
                        (to.stats.inFlight < to.concurrency && to.id != request.target) shouldBe true
                        (to.stats.secondsPerToken < request.secondsPerToken) shouldBe true
                        views = views.map { if (it == to) it.copy(stats = it.stats.started(1)) else it }
                        val moved = request.copy(
                            target = to.id,
                            secondsPerToken = to.stats.secondsPerToken,
                            moves =
                            request.moves + 1,
                        )
                        running = running.map { if (it.key == move.key) moved else it }
                        moves++
                    }
                    (moves <= 3 * requests.size) shouldBe true
                }
            }
            it("moves the request that saves the most time, and none to a full or only slightly faster target") {
                val other = slow.copy(key = "o", generatedTokens = 190)
                val policy = RelocationPolicy()
                val fast = view("fast", 0.01)
                policy.relocate(
                    listOf(slow.copy(key = "a", generatedTokens = 0), other),
                    listOf(fast),
                    Instant(0),
                )?.key shouldBe
                    "a"
                policy.relocate(listOf(slow), listOf(view("fast", 0.01, inFlight = 2)), Instant(0)) shouldBe null
                policy.relocate(listOf(slow), listOf(view("b", 0.09)), Instant(0)) shouldBe null
            }
        }
    })
