package dev.vanillarun.core.membership

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.platform.ListedInstance
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.zone.DataCentre
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.set
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.seconds

private val zone = DataCentre("torino")
private val start = Instant(0)
private val self = InstanceId("i0")

private val summaries = arbitrary {
    val id = Arb.int(0..4).bind()
    val version = Arb.long(1L..6L).bind()
    MemberSummary(InstanceId("i$id"), version, zone, "10.0.0.$id:$version", draining = version % 2 == 0L)
}

private fun entry(n: Int) = ListedInstance(InstanceId("i$n"), zone, "c", "10.0.0.$n:1", "a")

class MembershipTest :
    DescribeSpec({
        describe("summaries") {
            it("converge to the same members in any order and with any duplicates") {
                checkAll(Arb.list(summaries, 0..20), Arb.long(), Arb.boolean()) { all, seed, twice ->
                    val shuffled = (if (twice) all + all else all).shuffled(kotlin.random.Random(seed))
                    val first = all.fold(Membership(self)) { known, summary -> known.heard(summary, start) }
                    val second = shuffled.fold(Membership(self)) { known, summary -> known.heard(summary, start) }
                    first.members shouldBe second.members
                    (self in first.members) shouldBe false
                }
            }

            it("are liveness signals only if they are new") {
                val summary = MemberSummary(InstanceId("i1"), 1, zone, "10.0.0.1:1")
                val later = start + 20.seconds
                val repeated = Membership(self).heard(summary, start).heard(summary, later)
                repeated.alive(later).shouldBeEmpty()
                repeated.heard(summary.copy(version = 2), later).alive(later) shouldHaveSize 1
            }
        }

        describe("a reported version") {
            val id = InstanceId("i1")
            val known = Membership(self).heard(MemberSummary(id, 1, zone, "10.0.0.1:1"), start)
            val later = start + 14.seconds
            val end = start + 20.seconds

            it("is a liveness signal only if it is newer and the member is known") {
                known.versionReported(id, 2, later).alive(end) shouldHaveSize 1
                known.versionReported(id, 1, later).alive(end).shouldBeEmpty()
                known.versionReported(id, 2, start).versionReported(id, 2, later).alive(end).shouldBeEmpty()
                known.versionReported(InstanceId("i2"), 9, later).members.keys shouldBe setOf(id)
            }
            it("does not suppress the summary with this version, which is no second liveness signal") {
                val summary = MemberSummary(id, 2, zone, "10.0.0.1:2", draining = true)
                val both = known.versionReported(id, 2, start).heard(summary, later)
                both.members.getValue(id).leaving shouldBe true
                both.alive(end).shouldBeEmpty()
            }
        }

        describe("the platform's list") {
            it("adds members that may be called but are not alive, and removes those without recent signals") {
                val listed = Membership(self).listed(listOf(entry(0), entry(1)), start)
                listed.callable(start).map { it.peerAddress } shouldBe listOf("10.0.0.1:1")
                listed.alive(start).shouldBeEmpty()
                val heard = listed.heard(MemberSummary(InstanceId("i2"), 1, zone, "10.0.0.2:1"), start)
                heard.listed(emptyList(), start).members.keys shouldBe setOf(InstanceId("i2"))
                heard.listed(emptyList(), start + 60.seconds).members.isEmpty() shouldBe true
            }
        }

        describe("a failed call") {
            it("pauses calls without a word about the member's life") {
                val id = InstanceId("i1")
                val afterFailure = Membership(
                    self,
                ).heard(MemberSummary(id, 1, zone, "a:1"), start).callFailed(id, start)
                afterFailure.callable(start).shouldBeEmpty()
                afterFailure.alive(start) shouldHaveSize 1
                afterFailure.callable(start + 2.seconds) shouldHaveSize 1
                afterFailure.callSucceeded(id).callable(start) shouldHaveSize 1
            }
        }

        describe("pollers of a target") {
            it("are at most two, the same for all instances, and unaffected when another instance leaves") {
                checkAll(Arb.set(Arb.int(0..50), 1..12), Arb.int(0..100)) { numbers, t ->
                    val all = numbers.map { InstanceId("i$it") }
                    val target = TargetId("t$t")
                    val chosen = LoadPollers().of(target, all)
                    chosen.size shouldBe minOf(2, all.size)
                    LoadPollers().of(target, all.reversed()) shouldBe chosen
                    val other = all.firstOrNull { it !in chosen }
                    if (other != null) LoadPollers().of(target, all - other) shouldBe chosen
                }
            }
        }
    })
