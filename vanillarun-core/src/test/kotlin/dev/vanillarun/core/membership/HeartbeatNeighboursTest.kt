package dev.vanillarun.core.membership

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.set
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val zone = DataCentre("torino")

/** Simulated instances of one data centre that gossip messages of bounded size with their neighbours. */
private class GossipSimulation(count: Int, private val random: Random, private val sightings: Int) {
    private val ids = List(count) { InstanceId("i$it") }
    private val listed = ids.map { ListedInstance(it, zone, "$it:0", "$it:1", "$it:2") }
    private val views = ids.associateWith { Membership(it).listed(listed, Instant(0)) }.toMutableMap()
    private var version = 0L

    /**
     * Runs for [time] and returns pairs (observer, member) where the observer did not consider the member alive at some
     * moment after [settled].
     */
    fun run(time: Duration, settled: Duration): Set<Pair<InstanceId, InstanceId>> {
        val step = HeartbeatIntervals(500.milliseconds).interval(ids.size - 1)
        var now = Instant(0)
        val missedPairs = HashSet<Pair<InstanceId, InstanceId>>()
        while (now < Instant(0) + time) {
            now += step
            for (id in ids.shuffled(random)) {
                HeartbeatPeers().next(views.getValue(id), zone, now, random)?.let { exchangeHeartbeats(id, it, now) }
            }
            if (now >= Instant(0) + settled) missedPairs += notAlive(now)
        }
        return missedPairs
    }

    private fun exchangeHeartbeats(from: InstanceId, to: InstanceId, now: Instant) {
        sendHeartbeat(from, to, now)
        sendHeartbeat(to, from, now)
    }

    private fun sendHeartbeat(from: InstanceId, to: InstanceId, now: Instant) {
        val alive = views.getValue(from).alive(now).shuffled(random).filter { it.summary?.id != to }
        val sent = alive.take(1).mapNotNull { it.summary } + MemberSummary(from, ++version, zone, "$from:1")
        val merged = sent.fold(views.getValue(to)) { view, summary -> view.heard(summary, now) }
        views[to] = alive.take(sightings).fold(merged) { view, member ->
            view.versionReported(checkNotNull(member.summary).id, checkNotNull(member.newestVersion), now)
        }
    }

    private fun notAlive(now: Instant) = ids.flatMap { id ->
        val alive = views.getValue(id).alive(now).mapNotNull { it.summary?.id }
        (ids - id - alive.toSet()).map { id to it }
    }
}

class HeartbeatNeighboursTest :
    DescribeSpec({
        val candidates = Arb.set(Arb.int(0..400), 0..60)

        it("are at most six candidates, never include the instance itself, and are all candidates if there are fewer") {
            checkAll(candidates, Arb.long(0L..10_000L)) { numbers, at ->
                val all = numbers.map { InstanceId("i$it") }
                val self = InstanceId("i0")
                val chosen = HeartbeatNeighbours().of(self, all, Instant(0) + at.seconds)
                chosen.size shouldBe minOf(6, (all - self).size)
                chosen shouldNotContain self
                all shouldContainAll chosen
            }
        }
        it("do not change when another candidate leaves") {
            checkAll(candidates, Arb.long(0L..10_000L)) { numbers, at ->
                val all = numbers.map { InstanceId("i$it") }
                val now = Instant(0) + at.seconds
                val old = HeartbeatNeighbours().of(InstanceId("self"), all, now)
                val gone = all.firstOrNull { it !in old }
                if (gone != null) HeartbeatNeighbours().of(InstanceId("self"), all - gone, now) shouldContainExactly old
            }
        }
        it("rotate through all candidates within an hour") {
            val all = List(40) { InstanceId("i$it") }
            val chosen = (0..3_600).flatMapTo(HashSet()) {
                HeartbeatNeighbours().of(InstanceId("self"), all, Instant(0) + it.seconds)
            }
            chosen shouldBe all.toSet()
        }
        it("keep all instances of a large data centre alive for each other with messages of bounded size") {
            checkAll(3, Arb.long()) { seed ->
                val network = GossipSimulation(count = 41, random = Random(seed), sightings = 30)
                network.run(time = 180.seconds, settled = 120.seconds).shouldBeEmpty()
            }
        }
        it("do not keep them alive with summaries alone, which is why versions are gossiped as well") {
            val network = GossipSimulation(count = 41, random = Random(1), sightings = 0)
            network.run(time = 180.seconds, settled = 120.seconds).shouldNotBeEmpty()
        }
        describe("the heartbeat interval") {
            it("is the configured one in a small data centre and bounded in a large one") {
                checkAll(Arb.int(0..400)) { near ->
                    val interval = HeartbeatIntervals(500.milliseconds).interval(near)
                    if (near <= 14) interval shouldBe 500.milliseconds
                    interval shouldBeLessThanOrEqualTo 1_500.milliseconds
                }
            }
        }
    })
