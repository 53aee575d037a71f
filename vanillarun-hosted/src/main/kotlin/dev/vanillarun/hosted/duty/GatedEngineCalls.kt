package dev.vanillarun.hosted.duty

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.platform.SendGuard
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.ExchangeKind
import dev.vanillarun.hosted.target.GatePassage
import dev.vanillarun.hosted.target.GatedRequest
import dev.vanillarun.hosted.target.RequestResult
import dev.vanillarun.hosted.target.ResponseHead
import dev.vanillarun.hosted.target.TargetGates
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Status reads and load orders to engines; they pass the [gates] of all requests to targets. */
internal class GatedEngineCalls(
    private val calls: HostingCalls,
    private val departures: DepartureBoard,
    private val gates: TargetGates,
    private val clock: MonotonicClock,
) {
    /** Reads the state of [engine] once the gates permit it; null if it fails or they do not in time. */
    suspend fun status(engine: Replica): EngineStatus? {
        if (!awaitPermission(engine, ExchangeKind.STATUS)) return null
        return pass(engine, ExchangeKind.STATUS) { passage, onHead ->
            calls.engineStatus(engine, { passage.enter() == null }, onHead)
        }
    }

    /** Sends [order] to [engine] if the gates permit it now. */
    suspend fun order(engine: Replica, order: LoadOrder, token: FencingToken): PlatformResult<OrderAnswer> =
        pass(engine, ExchangeKind.ORDER) { passage, onHead ->
            val guard = SendGuard { !departures.isDeparting(engine) && passage.enter() == null }
            calls.order(engine, order, token, guard, onHead)
        }

    /** Waits until the gates permit a call of [kind] to [engine]; false if they do not within [MAX_WAIT]. */
    suspend fun awaitPermission(engine: Replica, kind: ExchangeKind): Boolean {
        val request = GatedRequest(kind)
        val until = clock.now() + MAX_WAIT
        while (gates.refusal(engine, request) != null) {
            if (clock.now() >= until || departures.isDeparting(engine)) return false
            delay(RETRY_INTERVAL)
        }
        return true
    }

    private suspend fun <T> pass(
        engine: Replica,
        kind: ExchangeKind,
        call: suspend (GatePassage, (ResponseHead) -> Unit) -> T,
    ): T {
        val passage = GatePassage(gates, engine, GatedRequest(kind))
        try {
            return call(passage) { head ->
                departures.responseReceived(engine, head, kind)
                if (!head.wrongTarget) passage.responded(head)
            }
        } finally {
            passage.end(RequestResult.INCONCLUSIVE)
        }
    }

    private companion object {
        /** Longer than the allowance of a second may be used up. */
        val MAX_WAIT = 1500.milliseconds
        val RETRY_INTERVAL = 50.milliseconds
    }
}
