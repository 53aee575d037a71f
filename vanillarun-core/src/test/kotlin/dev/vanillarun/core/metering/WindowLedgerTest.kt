package dev.vanillarun.core.metering

import dev.vanillarun.core.id.CustomerId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.map
import io.kotest.property.checkAll

private val figures = Arb.bind(Arb.int(1..3), Arb.long(1L..9L)) { customer, count ->
    mapOf(CustomerId("c$customer") to count)
}
private val windows = Arb.long(1L..3L)
private val records: Arb<UsageRecord> = Arb.choice(
    Arb.bind(windows, figures) { window, counts -> UsageRecord.Counted(window, counts) },
    Arb.bind(windows, figures) { window, counts -> UsageRecord.Closed(window, counts) },
    windows.map { UsageRecord.Reported(it) },
)

class WindowLedgerTest :
    DescribeSpec({
        fun fold(all: List<UsageRecord>) = all.fold(WindowLedger(), WindowLedger::apply)

        it("reports the same figures of a window for ever, whoever closes it again") {
            checkAll(Arb.list(records, 0..30), Arb.list(records, 0..30)) { first, later ->
                val before = fold(first)
                val after = later.fold(before, WindowLedger::apply)
                before.windows.filterValues { it.closed != null }.forEach { (number, window) ->
                    after.windows.getValue(number).closed shouldBe window.closed
                }
            }
        }
        it("counts everything that came before a window was closed, and nothing after") {
            val all = listOf(1L, 2L).map { UsageRecord.Counted(7, mapOf(CustomerId("a") to it)) }
            val closed = fold(all + UsageRecord.Closed(7, mapOf(CustomerId("a") to 3)))
            val late = closed.apply(UsageRecord.Counted(7, mapOf(CustomerId("a") to 5)))
            late.windows.getValue(7).counted shouldBe mapOf(CustomerId("a") to 3L)
        }
        it("drops windows before a given one") {
            checkAll(Arb.list(records, 0..30)) { all ->
                fold(all).startingAt(2).windows.keys.all { it >= 2 } shouldBe true
            }
        }
    })
