package dev.vanillarun.hosted.front

import dev.vanillarun.daemon.metrics.DaemonMetrics
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Counts calls for the metrics and for a drain, which waits until no call is in progress. */
internal class CallCounter(private val metrics: DaemonMetrics) {
    private val open = AtomicInteger()
    private val arrivedCalls = AtomicLong()

    /** Number of calls in progress. */
    val inProgress: Int get() = open.get()

    /** Number of calls received since the start, including those in progress. */
    val arrivals: Long get() = arrivedCalls.get()

    /** True from the start of a drain: responses then carry `Connection: close`. */
    @Volatile
    var closeConnections: Boolean = false

    init {
        metrics.gauge("vanillarun_requests_in_progress", "Calls in progress.") { inProgress.toDouble() }
    }

    /** Runs [call] and counts it as in progress until it returns or throws. */
    suspend fun track(call: suspend () -> Unit) {
        arrivedCalls.incrementAndGet()
        open.incrementAndGet()
        try {
            call()
        } finally {
            open.decrementAndGet()
        }
    }

    /** Records the [status] and duration of a completed call in the metrics. */
    fun recordResponse(status: Int, elapsed: Duration) = metrics.recordResponse("all", "$status", elapsed)
}
