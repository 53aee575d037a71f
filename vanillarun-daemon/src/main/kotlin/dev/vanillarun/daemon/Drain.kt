package dev.vanillarun.daemon

import dev.vanillarun.daemon.caller.ActiveCalls
import dev.vanillarun.daemon.caller.Connections
import dev.vanillarun.daemon.caller.ServingState
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Result of a drain; the event `drain.ended` carries its name in lower case. */
public enum class DrainOutcome {
    /** All calls and connections ended within the timeout. */
    CLEAN,

    /** The timeout expired with calls in progress or requests still arriving. */
    TIMED_OUT,
}

/** Stops serving callers without aborting a call that is in progress. */
public class Drain(
    private val connections: Connections,
    private val calls: ActiveCalls,
    private val serving: MutableStateFlow<ServingState>,
    private val noticePeriod: Duration,
    private val timeout: Duration,
) {
    /**
     * Keeps serving for [noticePeriod] while the load balancer notices, then refuses new requests and waits at most
     * [timeout] for the calls in progress.
     *
     * Closing a listening socket resets connections that the kernel has established and the process has not accepted.
     * So the socket stays open and requests are refused until none arrives any more, or until [MAX_ARRIVAL_WAIT] has
     * passed.
     */
    public suspend fun run(): DrainOutcome {
        serving.value = ServingState.LEAVING
        delay(noticePeriod)
        serving.value = ServingState.REFUSING
        val finished = withTimeoutOrNull(timeout) { finish() }
        return if (finished == null) DrainOutcome.TIMED_OUT else DrainOutcome.CLEAN
    }

    private suspend fun finish() {
        withTimeoutOrNull(MAX_ARRIVAL_WAIT) { awaitNoArrivals() }
        connections.stopAccepting()
        awaitQuiet { calls.inProgress == 0 && connections.busy == 0 && connections.unused == 0 }
        connections.closeIdle()
    }

    private suspend fun awaitNoArrivals() {
        var lastArrivals = connections.arrivals
        awaitQuiet {
            (connections.arrivals == lastArrivals && connections.unused == 0).also {
                lastArrivals =
                    connections.arrivals
            }
        }
    }

    private suspend fun awaitQuiet(isQuiet: () -> Boolean) {
        var quietChecks = 0
        while (quietChecks < QUIET_CHECKS) {
            delay(CHECK_INTERVAL)
            connections.settle()
            quietChecks = if (isQuiet()) quietChecks + 1 else 0
        }
    }

    private companion object {
        val CHECK_INTERVAL = 20.milliseconds

        /** Consecutive quiet checks that are required before the next stage. */
        const val QUIET_CHECKS = 10

        /** Limit on the wait for callers that keep sending requests although they are refused. */
        val MAX_ARRIVAL_WAIT = 5.seconds
    }
}
