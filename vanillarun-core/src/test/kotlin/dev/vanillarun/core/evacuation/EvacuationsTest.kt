package dev.vanillarun.core.evacuation

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.pair
import io.kotest.property.checkAll

private const val REQUEST = 0
private const val WITHDRAW = 1

class EvacuationsTest :
    DescribeSpec({
        describe(
            "orders that come, go and are missing from snapshots, by an operator who empties data centres in turn",
        ) {
            it("are in force exactly while one of their records stands, and the time of the last end is known") {
                checkAll(Arb.list(Arb.pair(Arb.int(0..2), Arb.int(0..7)), 0..20)) { steps ->
                    var state = Evacuations()
                    var records = emptyMap<String, DataCentre>()
                    steps.forEachIndexed { i, (kind, n) ->
                        val now = Instant(i.toLong())
                        val key = "k${n % 3}"
                        val before = state.dataCentres
                        val kept = records.keys.filter { (n shr it.last().digitToInt()) % 2 == 1 }.toSet()
                        when (kind) {
                            REQUEST -> records += key to DataCentre("d${n % 2}")
                            WITHDRAW -> records -= key
                            else -> records = records.filterKeys { it in kept }
                        }
                        state = when (kind) {
                            REQUEST -> state.requested(key, DataCentre("d${n % 2}"), now)
                            WITHDRAW -> state.withdrawn(key, now)
                            else -> state.retained(kept, now)
                        }
                        state.dataCentres shouldBe records.values.toSet()
                        (before - state.dataCentres).forEach { state.endedAt[it] shouldBe now }
                        state.endedAt.keys.none(state::isEvacuated) shouldBe true
                    }
                }
            }
        }
    })
