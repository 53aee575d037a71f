package dev.vanillarun.core.timeline

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll

private fun id(process: String, sequence: Long) = EventId(InstanceId(process), Incarnation("r"), sequence)

private fun event(process: String, sequence: Long, links: EventLinks = EventLinks()) =
    Event(id(process, sequence), "e", links)

/** Valid histories: an event names only earlier events as causes. */
private val histories = arbitrary { rs ->
    val next = HashMap<String, Long>()
    val events = mutableListOf<Event>()
    repeat(Arb.int(0, 40).bind()) {
        val process = "p" + rs.random.nextInt(4)
        val sequence = next.merge(process, 1, Long::plus)!! - 1
        val causes = if (events.isEmpty()) emptyList() else List(rs.random.nextInt(3)) { events.random(rs.random).id }
        val offset = Offset(rs.random.nextLong(50)).takeIf { rs.random.nextBoolean() }
        events += event(process, sequence, EventLinks(causedBy = causes, offset = offset))
    }
    events.toList()
}

class CausalOrderTest :
    DescribeSpec({
        describe("the order of any valid history") {
            it("contains every event once and reports no cycle") {
                checkAll(histories) { history ->
                    val timeline = CausalOrder.of(history)
                    timeline.events shouldContainExactlyInAnyOrder history
                    timeline.cyclic.shouldBeEmpty()
                }
            }
            it("puts no event before a cause or before an earlier event of its run") {
                checkAll(histories) { history ->
                    val place = CausalOrder.of(history).events.withIndex().associate { it.value.id to it.index }
                    for (event in history) {
                        event.links.causedBy.all { place.getValue(it) < place.getValue(event.id) } shouldBe true
                        val previous = event.id.copy(sequence = event.id.sequence - 1)
                        (place[previous] ?: -1 < place.getValue(event.id)) shouldBe true
                    }
                }
            }
            it("does not depend on the order of the input or on duplicate events") {
                checkAll(histories, Arb.int()) { history, seed ->
                    val shuffled = (history + history.take(3)).shuffled(kotlin.random.Random(seed))
                    CausalOrder.of(shuffled) shouldBe CausalOrder.of(history)
                }
            }
        }

        describe("concurrent events") {
            it("are sorted by the log offset that their process had read") {
                val late = event("a", 0, EventLinks(offset = Offset(9)))
                val early = event("b", 0, EventLinks(offset = Offset(4)))
                CausalOrder.of(listOf(late, early)).events shouldBe listOf(early, late)
            }
        }

        describe("a record") {
            it("has its append sorted before the event that applies it") {
                val record = RecordId(InstanceId("z"), Incarnation("r"), 3)
                val append = event("z", 0, EventLinks(appends = record))
                val apply = event("a", 0, EventLinks(applies = record))
                CausalOrder.of(listOf(apply, append)).events shouldBe listOf(append, apply)
            }
        }

        describe("inconsistent input") {
            it("with a cycle of causes reports the cycle and orders the other events") {
                val first = event("a", 0, EventLinks(causedBy = listOf(id("b", 0))))
                val second = event("b", 0, EventLinks(causedBy = listOf(id("a", 0))))
                val other = event("c", 0)
                CausalOrder.of(listOf(first, second, other)) shouldBe
                    Timeline(events = listOf(other), cyclic = listOf(first, second))
            }
            it("with an event that names itself reports a cycle") {
                val own = event("a", 0, EventLinks(causedBy = listOf(id("a", 0))))
                CausalOrder.of(listOf(own)) shouldBe Timeline(emptyList(), cyclic = listOf(own))
            }
            it("with an unknown cause reports it as missing") {
                val lost = id("gone", 7)
                CausalOrder.of(listOf(event("a", 0, EventLinks(causedBy = listOf(lost))))).missingCauses shouldBe
                    setOf(lost)
            }
        }

        describe("a filter") {
            it("selects one sample or all samples of a step") {
                val mine = event("a", 0, EventLinks(sample = "t/7/g0/1"))
                val other = event("a", 1, EventLinks(sample = "t/70/g0/1"))
                val timeline = CausalOrder.of(listOf(mine, other))
                timeline.filter(EventFilter(sample = "t/7")).events shouldBe listOf(mine)
                timeline.filter(EventFilter(sample = "t/7/g0/1")).events shouldBe listOf(mine)
                timeline.filter(EventFilter()).events shouldBe listOf(mine, other)
            }
        }
    })
