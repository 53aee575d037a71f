package dev.vanillarun.hosted.front

import dev.vanillarun.daemon.caller.Connections
import kotlinx.coroutines.delay
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stops the server for callers. A request counts from the reading of its head until the last byte of its response has
 * been written to the socket.
 */
internal class CallerDrain(private val connections: Connections) {
    /**
     * Serves calls for [notice] while the load balancer notices, then until no call arrives, none is in progress and
     * [isBusy] is false. Idle connections are closed after the notice.
     */
    suspend fun awaitQuiet(notice: Duration, isBusy: () -> Boolean) {
        connections.closeAfterResponse = true
        delay(notice)
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
    suspend fun close() {
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
