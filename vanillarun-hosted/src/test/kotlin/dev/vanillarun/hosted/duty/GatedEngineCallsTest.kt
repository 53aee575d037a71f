package dev.vanillarun.hosted.duty

import dev.vanillarun.core.catalog.CatalogService
import dev.vanillarun.core.catalog.ColdStart
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.NoOpEventRecorder
import dev.vanillarun.core.zone.DataCentre
import dev.vanillarun.hosted.pace.ColdGrant
import dev.vanillarun.hosted.pace.PaceGate
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.ResponseHead
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetListing
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val engine = Replica(TargetId("e"), "s", "e:80", DataCentre("z"), slots = 6, coldFor = 60.seconds)
private val order = LoadOrder("m", WeightVersion(2), InFlightPolicy.FINISH, basedOn = 0)
private val token = FencingToken(InstanceId("i"), Offset(1))

/** An engine that answers each call at once; [calledAt] has their times. */
private class FakeCalls(private val now: () -> Long) : HostingCalls {
    val calledAt = mutableListOf<Long>()

    override suspend fun engineStatus(
        engine: Replica,
        guard: SendGuard,
        onHead: (ResponseHead) -> Unit,
    ): EngineStatus? = EngineStatus(emptyMap(), busy = false, acceptedOrders = 0).takeIf { call(guard, onHead) }

    override suspend fun order(
        engine: Replica,
        order: LoadOrder,
        token: FencingToken,
        guard: SendGuard,
        onHead: (ResponseHead) -> Unit,
    ) = if (call(guard, onHead)) PlatformResult.Answered(OrderAnswer.ACCEPTED) else PlatformResult.Withheld

    private fun call(guard: SendGuard, onHead: (ResponseHead) -> Unit): Boolean {
        if (!guard.permits()) return false
        calledAt += now()
        onHead(ResponseHead(200, null, null, notRun = false, weights = null, load = null))
        return true
    }

    override suspend fun orderTargets(order: FleetOrder, token: FencingToken) = error("not used")

    override suspend fun reportUsage(window: Long, requests: Map<CustomerId, Long>, token: FencingToken) =
        error("not used")
}

@OptIn(ExperimentalCoroutinesApi::class)
class GatedEngineCallsTest :
    DescribeSpec({
        // Load: the loader reads a cold engine's state as fast as it may, while its owner has a queue for it.
        it("a cold engine gets its order and all status reads, by the remainder of its allowance") {
            runTest {
                val clock = MonotonicClock { Instant(currentTime.milliseconds.inWholeNanoseconds) }
                val listing = object : TargetListing {
                    override fun of(service: String) = listOf(engine)

                    override fun announcementAge(target: TargetId): Duration = 0.seconds
                }
                val coldStart = ColdStart(3.seconds, 16.0)
                val gate = PaceGate(
                    service = { CatalogService(it, coldStart = coldStart) },
                    listing = listing,
                    ownership = { false },
                    grant = ColdGrant(over = 1.5, slack = 5.0),
                    clock = clock,
                    wallClock = { 0 },
                    events = NoOpEventRecorder,
                )
                val departures = DepartureBoard(listing, 2.seconds, clock, { 0 }, NoOpEventRecorder)
                val calls = FakeCalls { currentTime }
                val gated = GatedEngineCalls(calls, departures, TargetGates(listOf(gate), clock), clock)
                gated.status(engine).shouldNotBeNull()
                gated.order(engine, order, token) shouldBe PlatformResult.Answered(OrderAnswer.ACCEPTED)
                gated.order(engine, order, token) shouldBe PlatformResult.Withheld
                repeat(8) { gated.status(engine).shouldNotBeNull() }
                calls.calledAt.size shouldBe 10
                calls.calledAt.forEach { at -> calls.calledAt.count { it in at..at + 1000 } shouldBeLessThanOrEqual 2 }
            }
        }
    })
