package dev.vanillarun.core.health

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val now = Instant(0)
private val anySignal =
    Arb.element(
        HealthSignal.Success,
        HealthSignal.ErrorResponse,
        HealthSignal.LinkFailure,
        HealthSignal.PeerConfirmedFailure,
        HealthSignal.PeerReachedTarget,
    )

private fun after(vararg signals: HealthSignal) = signals.fold(TargetHealth()) { health, next ->
    health.after(next, now)
}

class TargetHealthTest :
    DescribeSpec({
        describe("the health of a target") {
            it("is never suspect because of link failures of one observer alone") {
                checkAll(Arb.list(Arb.element(HealthSignal.Success, HealthSignal.LinkFailure), 0..50)) { signals ->
                    (after(*signals.toTypedArray()).standing == Standing.SUSPECT) shouldBe false
                }
            }
            it("needs confirmation by a peer when the link fails, and becomes suspect once confirmed") {
                val unreachable = after(HealthSignal.LinkFailure, HealthSignal.LinkFailure, HealthSignal.LinkFailure)
                unreachable.needsConfirmation shouldBe true
                unreachable.isEjected(now) shouldBe true
                unreachable.after(HealthSignal.PeerConfirmedFailure, now).standing shouldBe Standing.SUSPECT
                unreachable.after(HealthSignal.PeerReachedTarget, now).standing shouldBe Standing.UNREACHABLE_HERE
            }
            it("doubles the ejection time, and resets it after a long healthy time") {
                val errors = Array<HealthSignal>(5) { HealthSignal.ErrorResponse }
                val first = after(*errors)
                first.ejectedUntil shouldBe now + 5.seconds
                val recovered = first.after(HealthSignal.Success, now + 6.seconds)
                val again = errors.fold(recovered) { health, next -> health.after(next, now + 7.seconds) }
                again.ejectedUntil shouldBe now + 17.seconds
                again.after(HealthSignal.Success, now + 6.minutes).ejections shouldBe 0
            }
        }
        describe("the ejection cap") {
            it("never ejects more than its share of the targets, and none if all are ejected by their own health") {
                checkAll(Arb.list(Arb.list(anySignal, 0..12), 0..10)) { targets ->
                    val health =
                        targets.withIndex().associate { (i, all) -> TargetId("t$i") to after(*all.toTypedArray()) }
                    val ejected = EjectionCap(0.5).ejected(health, now)
                    ejected.size shouldBeLessThanOrEqual health.size / 2
                    ejected.all { health.getValue(it).isEjected(now) } shouldBe true
                    if (health.values.all { it.isEjected(now) }) ejected shouldBe emptySet()
                }
            }
        }
    })
