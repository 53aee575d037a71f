package dev.vanillarun.hosted.region

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.core.zone.Region
import dev.vanillarun.core.zone.allowedRegions
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.GatedRequest
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.set
import io.kotest.property.checkAll

class RegionGateTest :
    DescribeSpec({
        describe("requests of customers whose data must stay in some regions") {
            it("reach targets in regions that route and customer both allow, and no others, on every path") {
                val regionOf = mapOf("a1" to "a", "a2" to "a", "b1" to "b", "c1" to "c")
                    .entries.associate { DataCentre(it.key) to Region(it.value) }
                val gate = RegionGate(regionOf)
                val regions = Arb.set(Arb.element(listOf("a", "b", "c", "nowhere").map(::Region)), 0..3)
                val dataCentres = Arb.element(regionOf.keys.toList() + DataCentre("unlisted"))
                checkAll(regions, regions, dataCentres, Arb.enum<ExchangeKind>()) { route, customer, place, kind ->
                    val replica = Replica(TargetId("t"), "desk", "t:80", place, slots = 1)
                    val allowed = listOf(route, customer).all { it.isEmpty() || regionOf[place] in it }
                    val request = GatedRequest(kind, allowedRegions(route, customer))
                    (gate.refusal(replica, request) == null) shouldBe allowed
                    (gate.enter(replica, request) == null) shouldBe allowed
                }
            }
        }
    })
