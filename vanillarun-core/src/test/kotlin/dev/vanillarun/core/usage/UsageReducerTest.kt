package dev.vanillarun.core.usage

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordBody
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.UsageClose
import dev.vanillarun.core.log.UsageContribution
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.log.UsageReported
import dev.vanillarun.core.log.applyRecord
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

/** Simulates instances whose contributions, closes and snapshots are appended late and sometimes twice. */
private class UsageHistory(private val random: Random) {
    private val log = mutableListOf<StoredRecord>()
    private val late = mutableListOf<String>()
    private val writers = List(3) { RecordWriter(InstanceId("n$it"), Incarnation("i")) }
    var contributed = 0L
        private set

    fun run(steps: Int): List<StoredRecord> {
        repeat(steps) {
            when (random.nextInt(8)) {
                0, 1, 2 -> contribute()
                3 -> late += encode(UsageClose(view().state.window, Offset.None))
                4 -> view().state.closed.firstOrNull()?.let { late += encode(UsageReported(it.window)) }
                5 -> view().toSnapshot()?.let { late += encode(it) }
                else -> if (late.isNotEmpty()) append(late.random(random).also { if (random.nextBoolean()) late -= it })
            }
        }
        return log
    }

    private fun contribute() {
        val requests = random.nextLong(1, 100)
        contributed += requests
        val customer = CustomerId("c${random.nextInt(3)}")
        val record = encode(UsageContribution(listOf(UsageFigure(customer, requests, 0, 0))))
        append(record)
        if (random.nextBoolean()) late += record
    }

    private fun view() = views(log.take(random.nextInt(log.size + 1)), from = 0).last()

    private fun encode(body: RecordBody) = RecordCodec.encode(writers.random(random).envelope(body))

    private fun append(payload: String) {
        log += StoredRecord(Offset(log.size.toLong()), StreamName.Usage, payload)
    }
}

private fun views(log: List<StoredRecord>, from: Int): List<LogView<UsageState>> {
    val begin = Offset(from.toLong())
    return log.drop(from).runningFold(LogView(UsageReducer.begin(begin), begin)) { seen, record ->
        UsageReducer.applyRecord(seen, record)
    }
}

class UsageReducerTest :
    DescribeSpec({
        describe("any history of late and repeated records") {
            it("counts each contribution once and never changes a closed window") {
                checkAll(300, Arb.long()) { seed ->
                    val history = UsageHistory(Random(seed))
                    val seen = views(history.run(steps = 120), from = 0)
                    val fixed = seen.flatMap { it.state.closed }.distinct()
                    fixed.map { it.window }.distinct().size shouldBe fixed.size
                    val all = fixed.flatMap { it.figures } + seen.last().state.open
                    all.sumOf { it.requests } shouldBe history.contributed
                }
            }

            it("gives readers of a truncated log the same figures as readers of the whole log") {
                var compared = 0
                checkAll(150, Arb.long()) { seed ->
                    val log = UsageHistory(Random(seed)).run(steps = 120)
                    val whole = views(log, from = 0)
                    for (from in 1..log.size) {
                        val last = views(log, from).last().state
                        if (last.whole) {
                            last.window shouldBe whole.last().state.window
                            last.open shouldBe whole.last().state.open
                            last.closed shouldBe whole.last().state.closed
                            compared++
                        }
                    }
                }
                compared shouldBeGreaterThan 500
            }
        }
    })
