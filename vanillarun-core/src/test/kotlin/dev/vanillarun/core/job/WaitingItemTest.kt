package dev.vanillarun.core.job

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private fun item(name: String, group: String, expected: Long) =
    JobItem(ItemId(name), path = "/", group = group, expectedTokens = expected)

private fun job(desired: Int, vararg items: JobItem) = Job(
    JobId("j"),
    customer = null,
    host = "h",
    path = "/",
    submittedAt = 0,
    desiredGroups = desired,
    items = items.toList(),
)

private fun waiting(item: JobItem, due: Long = 0, begun: Boolean = false, rank: Int = 0) =
    WaitingItem(JobId("j"), item, due, priority = 0, begun = begun, groupRank = rank)

class WaitingItemTest :
    DescribeSpec({
        describe("a step that needs nine of its ten groups") {
            val groups = (1..10).map { item("i$it", "g$it", expected = it * 10L) }
            it("ranks the longest group last and the longest of the others first") {
                val ranks = groupRanks(job(9, *groups.toTypedArray()))
                ranks.getValue("g10") shouldBe 9
                ranks.getValue("g9") shouldBe 0
                ranks.getValue("g1") shouldBe 8
            }
            it("ranks groups returned from an earlier step before all others") {
                groupRanks(job(9, *groups.toTypedArray()), returned = setOf("g10")).getValue("g10") shouldBe 0
            }
            it("ranks a group by its longest item") {
                val ranks = groupRanks(job(1, item("a", "x", 5), item("b", "x", 90), item("c", "y", 50)))
                ranks.getValue("y") shouldBe 0
            }
        }
        describe("items of several jobs") {
            it("are ordered by due time, interrupted before new, group rank, and longest expected work first") {
                val late = waiting(item("late", "g", 1), due = 9)
                val begun = waiting(item("begun", "g", 1), begun = true, rank = 5)
                val first = waiting(item("first", "g", 1), rank = 0)
                val long = waiting(item("long", "g", 7), rank = 1)
                val short = waiting(item("short", "g", 2), rank = 1)
                listOf(late, short, long, first, begun).sortedWith(ItemOrder)
                    .shouldContainExactly(begun, first, long, short, late)
            }
        }
        describe("items of several jobs while engines are few") {
            it("go by the state of their group: begun, new, surplus, late") {
                val states = GroupState.entries.reversed()
                val items = states.mapIndexed { due, state ->
                    waiting(item("$state", "$state", 1), due = due.toLong()).copy(group = state)
                }
                assignmentOrder(items, assigned = 0).map { it.group } shouldBe GroupState.entries
            }
            it("keep all items, and go by the order alone while all groups have the same state") {
                checkAll(Arb.list(Arb.enum<GroupState>(), 0..40), Arb.long(0L..100)) { states, assigned ->
                    val items = states.mapIndexed { at, state ->
                        waiting(item("i$at", "g", 1), due = at * 7L % 5).copy(group = state)
                    }
                    assignmentOrder(items, assigned).toSet() shouldBe items.toSet()
                    if (states.distinct().size <
                        2
                    ) {
                        assignmentOrder(items, assigned) shouldBe items.sortedWith(ItemOrder)
                    }
                }
            }
            it("never starve: one of eight assignments goes to the item that is due first") {
                val late = waiting(item("late", "l", 1), due = 0).copy(group = GroupState.LATE)
                val others = List(20) { waiting(item("i$it", "g$it", 1), due = 9).copy(group = GroupState.BEGUN) }
                (0L until AGED_SHARE).count { assignmentOrder(others + late, it).first() == late } shouldBe 1
            }
            it("belong to late groups once their rest does not fit before the due time, which others replace") {
                fun group(name: String, rank: Int, left: Duration = 2.seconds) =
                    GroupProgress(name, rank, isBegun = rank == 0, left)

                fun states(left: Duration) = groupStates(
                    listOf(group("a", 0), group("b", 1, left), group("c", 2)),
                    desired = 2,
                    now = 5000,
                    dueAt = 7500,
                ).values.toList()
                states(left = 2.seconds) shouldBe listOf(GroupState.BEGUN, GroupState.NEW, GroupState.SURPLUS)
                states(left = 3.seconds) shouldBe listOf(GroupState.BEGUN, GroupState.LATE, GroupState.NEW)
            }
            it("are expected to take at least half of the mean time of their tokens") {
                val time = RunTime().observed(item("x", "g", 100), 1.seconds)
                time.shortest(item("y", "g", 400)) shouldBe 2.seconds
                RunTime().shortest(item("y", "g", 400)) shouldBe Duration.ZERO
            }
        }
    })
