package dev.vanillarun.core.routing

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.limit.InstanceDemand
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private val now = Instant(0)

private val zones = listOf("rennes", "brest", "vannes").map { DataCentre(it) }

private fun TargetView.withMore(count: Int) = copy(stats = stats.copy(inFlight = stats.inFlight + count))

/** Zones whose loss leaves more requests than the rest can finish in two rounds; one request is always allowed. */
private fun List<TargetView>.zonesOverBound(): List<DataCentre> = zones.filter { zone ->
    val (lost, rest) = partition { it.reclaimable && it.dataCentre == zone }
    val after = lost.sumOf { it.stats.inFlight } + rest.sumOf { it.stats.inFlight }
    lost.isNotEmpty() && rest.isNotEmpty() && after > maxOf(2 * rest.sumOf { it.concurrency }, 1)
}

private fun view(id: Int, concurrency: Int, secondsPerToken: Double = 0.0) =
    TargetView(TargetId("t$id"), DataCentre("brest"), concurrency, TargetStats(secondsPerToken = secondsPerToken))

class RouteRoomTest :
    DescribeSpec({
        describe("the room of instances that know each other's demand") {
            it("adds up to no more than the concurrency of a target, even without load reports") {
                checkAll(Arb.list(Arb.int(1..400), 1..12), Arb.int(12..64)) { demands, concurrency ->
                    val all = demands.mapIndexed { i, demand -> InstanceDemand(InstanceId("i$i"), demand) }
                    val filled = all.sumOf { self ->
                        val share = RouteShare.of(self, all - self)
                        RouteRoom.of(listOf(view(0, concurrency)), now, share).total
                    }
                    filled shouldBeLessThanOrEqual concurrency + all.size
                    if (demands.distinct().size == 1) filled shouldBeLessThanOrEqual concurrency
                }
            }

            it("is the whole target for an instance without contenders") {
                val self = InstanceDemand(InstanceId("i"), 0)
                val idle = InstanceDemand(InstanceId("j"), 0)
                RouteRoom.of(listOf(view(0, 5)), now, RouteShare.of(self, listOf(idle))).total shouldBe 5
            }
        }

        describe("reserved room") {
            it("is taken from the fastest targets first and never becomes negative") {
                checkAll(Arb.list(Arb.int(1..20), 1..8), Arb.int(0..200)) { sizes, count ->
                    val views = sizes.mapIndexed { i, size -> view(i, size, secondsPerToken = 1.0 + i) }
                    val room = RouteRoom.of(views.shuffled(), now, RouteShare.Whole)
                    room.reserve(count).total shouldBe maxOf(0, sizes.sum() - count)
                    room.targets.map { it.id } shouldContainExactly views.map { it.id }
                }
            }
        }

        describe("leaving or ejected targets") {
            it("have no room, but ejected ones are used if no other target is left") {
                val (a, b, c) = List(3) { view(it, 4) }
                val leaving = c.copy(leaving = true)
                RouteRoom.of(listOf(a, b.copy(ejected = true), leaving), now, RouteShare.Whole).open shouldBe
                    setOf(a.id)
                RouteRoom.of(listOf(b.copy(ejected = true), leaving), now, RouteShare.Whole).open shouldBe setOf(b.id)
            }
        }

        describe("reclaimable targets") {
            it("never run more than the rest absorbs in two rounds, however the targets fill and empty") {
                checkAll(Arb.long()) { seed ->
                    val random = Random(seed)
                    var fleet = List(random.nextInt(2, 10)) {
                        view(it, random.nextInt(1, 20), random.nextDouble()).copy(
                            dataCentre = zones.random(random),
                            reclaimable = random.nextBoolean(),
                        )
                    }
                    repeat(10) {
                        val room = RouteRoom.of(fleet, now, RouteShare.Whole).targets.associate {
                            it.id to it.freeSlots
                        }
                        fleet = fleet.map { it.withMore(room[it.id] ?: 0) }
                        fleet.zonesOverBound().shouldBeEmpty()
                        fleet = fleet.map { it.withMore(-random.nextInt(it.stats.inFlight + 1)) }
                    }
                }
            }

            it("are filled completely if a route has no other targets") {
                val only = view(0, 6).copy(reclaimable = true)
                RouteRoom.of(listOf(only), now, RouteShare.Whole).total shouldBe 6
            }

            it("add room to that of the other targets") {
                val reclaimable = view(0, 6).copy(reclaimable = true)
                val busy = view(1, 6).withMore(6)
                RouteRoom.of(listOf(reclaimable, busy), now, RouteShare.Whole).open shouldBe setOf(reclaimable.id)
            }
        }
    })
