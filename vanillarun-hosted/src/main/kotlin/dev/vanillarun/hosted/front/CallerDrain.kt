package dev.vanillarun.hosted.front

import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.caller.Connections
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stops the server for callers. A request counts from the reading of its head until the last byte of its response has
 * been written to the socket.
 */
internal class CallerDrain(
    private val connections: Connections,
    private val admission: CallAdmission,
    private val clock: MonotonicClock,
) {
    /**
     * Serves calls for [notice] while the load balancer notices, and then only those that end within [timeout], until
     * none arrives or is in progress and [isBusy] is false. Calls in progress at the end of [timeout] are answered
     * as timed out. Idle connections are closed after the notice.
     */
    suspend fun finishCalls(notice: Duration, timeout: Duration, isBusy: () -> Boolean) {
        val end = clock.now() + timeout
        connections.closeAfterResponse = true
        delay(notice)
        admission.admitUntil(end)
        withTimeoutOrNull(end - clock.now()) { awaitQuiet(isBusy) }
        admission.refuseAll()
        withTimeoutOrNull(end - clock.now()) { closeConnections() } ?: admission.cutOff()
    }

    private suspend fun awaitQuiet(isBusy: () -> Boolean) {
        var seenArrivals: Long
        do {
            seenArrivals = connections.arrivals
            connections.closeIdle(spareUnused = true)
            delay(ARRIVAL_CHECK_INTERVAL)
            connections.settle()
        } while (!isQuiet(seenArrivals) || isBusy())
    }

    private fun isQuiet(seenArrivals: Long) =
        connections.busy == 0 && connections.unused == 0 && connections.arrivals == seenArrivals

    /** Accepts no more connections, and closes each open one once its requests are answered. */
    suspend fun closeConnections() {
        connections.settle()
        connections.stopAccepting()
        connections.settle()
        while (connections.count > 0) {
            connections.closeIdle()
            delay(CLOSE_CHECK_INTERVAL)
        }
    }

    private companion object {
        val ARRIVAL_CHECK_INTERVAL = 300.milliseconds
        val CLOSE_CHECK_INTERVAL = 10.milliseconds
    }
}
