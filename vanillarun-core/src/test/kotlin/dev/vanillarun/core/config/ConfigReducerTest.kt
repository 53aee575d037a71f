package dev.vanillarun.core.config

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.ConfigChange
import dev.vanillarun.core.log.ConfigPublication
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordWriter
import dev.vanillarun.core.log.StoredRecord
import dev.vanillarun.core.log.StreamName
import dev.vanillarun.core.log.applyRecord
import dev.vanillarun.core.log.start
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeSorted
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private typealias View = LogView<ConfigState>

/** Simulated writers whose appends to one stream are delayed, reordered and sometimes duplicated. */
private class PublishingWriters(private val random: Random) {
    private val writer = RecordWriter(InstanceId("w"), Incarnation("i"))
    private val log = mutableListOf<StoredRecord>()
    private val inFlight = mutableListOf<String>()

    fun run(steps: Int): List<StoredRecord> {
        repeat(steps) {
            when (random.nextInt(5)) {
                0, 1 -> prepareAppend()?.let(inFlight::add)
                else -> completeAppend()
            }
        }
        return log
    }

    private fun prepareAppend(): String? {
        val from = random.nextInt(log.size + 1)
        val view = viewsOf(log, from).last()
        val base = view.state.base ?: return null
        val config = RolloutConfig(customers = listOf(Customer(CustomerId("c${random.nextInt()}"))))
        val before = view.state.confirmed?.config ?: RolloutConfig()
        val body = when (random.nextInt(4)) {
            0 -> ConfigPublication(base, author = "a", message = "m", config = config)
            1 -> ConfigChange(base, author = "a", message = "m", patch = before.diff(config))
            else -> view.toSnapshot() ?: return null
        }
        return RecordCodec.encode(writer.envelope(body))
    }

    private fun completeAppend() {
        if (inFlight.isEmpty()) return
        val index = random.nextInt(inFlight.size)
        val payload = if (random.nextInt(4) == 0) inFlight[index] else inFlight.removeAt(index)
        log += StoredRecord(Offset(log.size.toLong()), StreamName.Config, payload)
    }
}

/** Views of a reader that starts at [from], before and after each record. */
private fun viewsOf(log: List<StoredRecord>, from: Int): List<View> {
    val begin = Offset(from.toLong())
    val view = LogView(ConfigReducer.begin(begin), begin)
    return log.drop(from).runningFold(view) { seen, record -> ConfigReducer.applyRecord(seen, record) }
}

class ConfigReducerTest :
    DescribeSpec({
        describe("any history of racing, repeated and late writers") {
            it("is decided alike by all readers with a base, wherever their log starts") {
                var viewsWithBase = 0
                checkAll(300, Arb.long()) { seed ->
                    val random = Random(seed)
                    val log = PublishingWriters(random).run(steps = 80)
                    val whole = viewsOf(log, from = 0)
                    for (from in 1..log.size) {
                        viewsOf(log, from).forEachIndexed { index, view ->
                            if (view.state.hasBase) {
                                view.state.base shouldBe whole[from + index].state.base
                                view.state.inForce shouldBe whole[from + index].state.inForce
                                viewsWithBase++
                            }
                        }
                    }
                }
                viewsWithBase shouldBeGreaterThan 1000
            }

            it("never reverts and accepts one publication for each base") {
                checkAll(300, Arb.long()) { seed ->
                    val random = Random(seed)
                    val log = PublishingWriters(random).run(steps = 80)
                    val shown = viewsOf(log, from = 0).map { it.state.inForce?.publication ?: Offset.None }
                    shown.map { it.value }.shouldBeSorted()
                }
            }
        }

        describe("a reader that fell behind the retained log") {
            it("goes on serving what it had and never takes an older snapshot") {
                checkAll(200, Arb.long()) { seed ->
                    val random = Random(seed)
                    val log = PublishingWriters(random).run(steps = 80)
                    val until = random.nextInt(log.size + 1)
                    val from = random.nextInt(until, log.size + 1)
                    val before = viewsOf(log.take(until), from = 0).last()
                    val cut = ConfigReducer.truncate(before.state, Offset(from.toLong()))
                    val first = LogView(cut, Offset(from.toLong()))
                    val views = log.drop(from).runningFold(first) { seen, record ->
                        ConfigReducer.applyRecord(seen, record)
                    }
                    val shown = views.map { it.state.inForce?.publication ?: Offset.None }
                    (listOf(before.state.inForce?.publication ?: Offset.None) + shown)
                        .map { it.value }
                        .shouldBeSorted()
                }
            }
        }

        describe("a state from a peer") {
            it("decides like the state of the peer itself") {
                checkAll(200, Arb.long()) { seed ->
                    val random = Random(seed)
                    val log = PublishingWriters(random).run(steps = 60)
                    val at = random.nextInt(log.size + 1)
                    val whole = viewsOf(log, from = 0)
                    val snapshot = whole[at].toSnapshot() ?: return@checkAll
                    val initial = ConfigReducer.viewFromPeer(snapshot, whole[at].next)
                    val last = log.drop(at).fold(initial) { seen, record -> ConfigReducer.applyRecord(seen, record) }
                    last.state.base shouldBe whole.last().state.base
                    last.state.inForce shouldBe whole.last().state.inForce
                }
            }
        }

        describe("a fresh log") {
            it("gives a reader a base from its first record") { ConfigReducer.start().state.hasBase.shouldBeTrue() }
        }
    })
