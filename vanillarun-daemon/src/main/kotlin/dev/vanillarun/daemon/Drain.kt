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

/** How a drain ended. */
public enum class DrainOutcome {
    /** All calls were finished. */
    CLEAN,

    /** Calls were still in progress when the time was over. */
    TIMED_OUT,
}

/** Ends the service to callers without cutting a call. */
public class Drain(
    private val connections: Connections,
    private val calls: ActiveCalls,
    private val serving: MutableStateFlow<ServingState>,
    private val noticePeriod: Duration,
    private val timeout: Duration,
) {
    /**
     * Serves on while the balancer learns of it, then refuses new requests and waits for the calls in progress.
     *
     * Closing a listening address resets the connections that the system has set up and the process has not accepted.
     * So it stays open, and requests are refused, until callers have heeded the refusals and none arrives any more, or
     * until [MAX_ARRIVAL_WAIT] has passed.
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

        /** Checks in a row that find nothing before the next stage. */
        const val QUIET_CHECKS = 10

        /** Longest wait for callers that go on calling though they are refused. */
        val MAX_ARRIVAL_WAIT = 5.seconds
    }
}
