package dev.vanillarun.core.health

import dev.vanillarun.core.health.ConnectionDecision.DEAD_CONNECTION
import dev.vanillarun.core.health.ConnectionDecision.DEAD_TARGET
import dev.vanillarun.core.health.ConnectionDecision.PROBE
import dev.vanillarun.core.health.ConnectionDecision.WAIT
import dev.vanillarun.core.time.Instant
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val start = Instant(0)

class ConnectionWatchTest :
    DescribeSpec({
        val monitor = ConnectionMonitor(lastReceived = start)
        val probed = monitor.after(ConnectionEvent.Tick, start + 2.seconds).next

        describe("a connection that owes an answer") {
            it("is kept while bytes arrive, however long the response takes") {
                checkAll(Arb.list(Arb.int(1..1900), 0..40)) { gaps ->
                    var now = start
                    var current = monitor.copy(expectsBytes = true)
                    gaps.forEach { gap ->
                        now += gap.milliseconds
                        current.after(ConnectionEvent.Tick, now).verdict shouldBe WAIT
                        current = current.after(ConnectionEvent.Received, now).next
                    }
                }
            }
            it("is probed on a new connection once it is silent for too long") {
                monitor.after(ConnectionEvent.Tick, start + 1.seconds).verdict shouldBe WAIT
                monitor.after(ConnectionEvent.Tick, start + 2.seconds).verdict shouldBe PROBE
            }
            it("is waited for while the target reports that it still runs the request") {
                var now = start
                var current = monitor
                repeat(100) {
                    now += 2.seconds
                    current = current.after(ConnectionEvent.Tick, now).next
                    val step = current.after(ConnectionEvent.ProbeSucceeded(stillRunning = true), now)
                    step.verdict shouldBe WAIT
                    current = step.next
                }
            }
            it("is dead when the target no longer runs the request, or when heartbeats stay away") {
                val now = start + 2.seconds
                probed.after(ConnectionEvent.ProbeSucceeded(stillRunning = false), now).verdict shouldBe DEAD_CONNECTION
                probed.after(ConnectionEvent.ProbeSucceeded(), now).verdict shouldBe WAIT
                probed.copy(expectsBytes = true).after(ConnectionEvent.ProbeSucceeded(), now).verdict shouldBe
                    DEAD_CONNECTION
            }
            it("is not dead if bytes arrived after the probe was sent") {
                val alive = probed.after(ConnectionEvent.Received, start + 2500.milliseconds).next
                alive.after(ConnectionEvent.ProbeSucceeded(false), start + 2600.milliseconds).verdict shouldBe WAIT
            }
            it("reports a dead target when probes on new connections fail too") {
                val again = probed.after(ConnectionEvent.Tick, start + 3.seconds)
                again.verdict shouldBe PROBE
                again.next.after(ConnectionEvent.ProbeFailed, start + 4.seconds).verdict shouldBe DEAD_TARGET
            }
        }
    })
