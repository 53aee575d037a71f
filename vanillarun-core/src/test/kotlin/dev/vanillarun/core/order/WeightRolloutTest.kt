package dev.vanillarun.core.order

import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val old = WeightVersion(7)
private val new = WeightVersion(8)

private fun replicas(count: Int, random: Random) = List(count) {
    val routes = setOf(RouteName("r${random.nextInt(3)}"))
    WeightReplica(TargetId("t$it"), DataCentre("d${random.nextInt(3)}"), routes, old)
}

class WeightRolloutTest :
    DescribeSpec({
        describe("any fleet with loads that fail at random") {
            it("ends with the new version everywhere, within the limits at every moment") {
                checkAll(100, Arb.long(), Arb.int(1..40), Arb.int(1..8)) { seed, count, maxLoading ->
                    val random = Random(seed)
                    val limits = RolloutLimits(maxLoading = maxLoading)
                    var fleet = replicas(count, random)
                    var now = Instant(0)
                    var steps = 0
                    while (fleet.any { it.version != new }) {
                        steps++ shouldBeLessThan 20_000
                        val next = planWeightLoads(fleet, new, limits, now).toSet()
                        fleet = fleet.map { if (it.target in next) it.copy(loadingSince = now) else it }
                        val loading = fleet.filter { it.loadingSince != null }
                        loading.size shouldBeLessThanOrEqual maxLoading
                        for ((route, copies) in fleet.groupBy { it.routes.single() }) {
                            val loadingCopies = loading.count { route in it.routes }
                            loadingCopies shouldBeLessThanOrEqual maxOf(1, copies.size / 2)
                        }
                        now += 100.milliseconds
                        fleet = fleet.map { it.afterLoad(now, random) }
                    }
                }
            }
        }

        describe("a target whose load failed") {
            it("is retried after the other targets, with a backoff") {
                val limits = RolloutLimits(maxLoading = 1)
                val all = replicas(3, Random(1)).map { it.copy(routes = setOf(RouteName("r"))) }
                val failed = all.first().copy(failures = 1, failedAt = Instant(0))
                val fleet = listOf(failed) + all.drop(1)
                planWeightLoads(fleet, new, limits, Instant(0) + limits.retryBackoff).contains(failed.target) shouldBe
                    false
                val rest = listOf(failed) + all.drop(1).map { it.copy(version = new) }
                planWeightLoads(rest, new, limits, Instant(0)) shouldBe emptyList()
                val due = planWeightLoads(rest, new, limits, Instant(0) + limits.retryBackoff)
                due shouldContainExactly listOf(failed.target)
            }
        }
    })

private fun WeightReplica.afterLoad(now: Instant, random: Random): WeightReplica = when {
    loadingSince == null || random.nextInt(3) > 0 -> this
    random.nextInt(4) == 0 -> copy(loadingSince = null, failures = failures + 1, failedAt = now)
    else -> copy(loadingSince = null, version = WeightVersion(8), failures = 0)
}
