package dev.vanillarun.hosted.front

import dev.vanillarun.daemon.metrics.DaemonMetrics
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Counts the calls in progress, for metrics and for a stop that cuts none. */
internal class CallCount(private val metrics: DaemonMetrics) {
    private val open = AtomicInteger()
    private val arrived = AtomicLong()

    /** Calls in progress. */
    val inProgress: Int get() = open.get()

    /** Calls since the start. */
    val arrivals: Long get() = arrived.get()

    /** True once callers shall use other connections. */
    @Volatile
    var closing: Boolean = false

    init {
        metrics.gauge("vanillarun_requests_in_progress", "Calls in progress.") { inProgress.toDouble() }
    }

    /** Runs [call] as one call. */
    suspend fun counted(call: suspend () -> Unit) {
        arrived.incrementAndGet()
        open.incrementAndGet()
        try {
            call()
        } finally {
            open.decrementAndGet()
        }
    }

    /** A call was answered with [status]. */
    fun answered(status: Int, elapsed: Duration) = metrics.answered("all", "$status", elapsed)
}
