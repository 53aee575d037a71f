package dev.vanillarun.core.quarantine

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

private val now = Instant(0)

private fun fingerprint(name: Int) = Fingerprint("f$name")

/** Simulates how the daemon runs poisonous and harmless requests under the quarantine levels of the ledger. */
private class Fleet(private val poisons: Set<Fingerprint>, private val random: Random) {
    var ledger = CrashLedger()
    val refused = HashSet<Fingerprint>()
    val done = HashSet<Fingerprint>()
    var crashes = 0

    fun run(requests: List<Fingerprint>) {
        var left = requests
        while (left.isNotEmpty()) {
            val byLevel = left.shuffled(random).groupBy { ledger.quarantineLevel(it, now) }
            val normal = byLevel[QuarantineLevel.NORMAL].orEmpty().take(random.nextInt(7))
            val separated = byLevel[QuarantineLevel.SEPARATED].orEmpty().take(1)
            val isolated = byLevel[QuarantineLevel.ISOLATED].orEmpty().take(1)
            val batch = (if (isolated.isNotEmpty() && random.nextBoolean()) isolated else normal + separated).toSet()
            if (batch.any { it in poisons }) {
                crashes++
                ledger = ledger.crashed(TargetId("t$crashes"), batch, now)
            } else {
                batch.forEach { ledger = ledger.completed(it, now) }
                done += batch
            }
            refused += left.filter { ledger.quarantineLevel(it, now) == QuarantineLevel.REFUSED }
            left = left.filter { it !in refused && it !in done }
        }
    }
}

class CrashLedgerTest :
    DescribeSpec({
        describe("the ledger of crashes") {
            it("refuses every poisonous request after three crashes of each, and no innocent one") {
                checkAll(Arb.int(0..3), Arb.int(0..20), Arb.long()) { bad, good, seed ->
                    val poisons = (1..bad).map { fingerprint(it) }.toSet()
                    val fleet = Fleet(poisons, Random(seed))
                    fleet.run(poisons.toList() + (1..good).map { fingerprint(100 + it) })
                    fleet.refused shouldBe poisons
                    (fleet.crashes <= 3 * bad) shouldBe true
                }
            }
            it("counts distinct targets only") {
                val target = TargetId("t")
                val ledger = (1..9).fold(CrashLedger()) { known, _ -> known.observed(fingerprint(1), target, now) }
                ledger.quarantineLevel(fingerprint(1), now) shouldBe QuarantineLevel.SEPARATED
            }
            it("refuses a request after three local crashes on the same target, for routes with a single target") {
                val target = TargetId("t")
                val ledger = (1..3).fold(CrashLedger()) { known, _ ->
                    known.crashed(target, setOf(fingerprint(1)), now)
                }
                ledger.quarantineLevel(fingerprint(1), now) shouldBe QuarantineLevel.REFUSED
            }
            it("counts crashes reported by peers, and expires them after the retention time") {
                val ledger = (1..3).fold(CrashLedger()) { known, i ->
                    known.observed(fingerprint(1), TargetId("t$i"), now)
                }
                ledger.quarantineLevel(fingerprint(1), now) shouldBe QuarantineLevel.REFUSED
                ledger.refusedFor(fingerprint(1), now + 4.minutes) shouldBe 6.minutes
                ledger.quarantineLevel(fingerprint(1), now + 10.minutes) shouldBe QuarantineLevel.NORMAL
            }
            it("evicts fingerprints beyond its capacity") {
                val small = CrashLedger(QuarantineRules(capacity = 10))
                val full = (1..100).fold(small) { known, i -> known.observed(fingerprint(i), TargetId("t"), now) }
                (full.suspectedCrashes.size <= 10) shouldBe true
            }
        }
        describe("a fingerprint") {
            it("is equal for equal bytes and depends on method, path and body") {
                val one = Fingerprint.of("POST", "/a", byteArrayOf(1))
                one shouldBe Fingerprint.of("POST", "/a", byteArrayOf(1))
                setOf(
                    one,
                    Fingerprint.of("PUT", "/a", byteArrayOf(1)),
                    Fingerprint.of("POST", "/a", byteArrayOf()),
                ).size shouldBe
                    2 + 1
            }
        }
    })
