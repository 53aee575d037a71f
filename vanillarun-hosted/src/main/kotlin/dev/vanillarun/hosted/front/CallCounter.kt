package dev.vanillarun.hosted.front

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.daemon.metrics.DaemonMetrics
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** When and to which target a call was last passed on. */
internal data class PassedOn(val target: TargetId, val at: Instant)

/** A call in progress. */
internal class TrackedCall(
    /** Request id chosen by the caller; null if it sent none. */
    val id: String?,
) {
    /** Last target of the call; null if it was not passed on. */
    @Volatile
    var passedOn: PassedOn? = null

    /** True once the response is in the metrics. */
    @Volatile
    var isRecorded: Boolean = false
}

/** Counts calls for the metrics and for a drain, which waits until no call is in progress. */
internal class CallCounter(private val metrics: DaemonMetrics) {
    private val open = ConcurrentHashMap.newKeySet<TrackedCall>()

    /** Number of calls in progress. */
    val inProgress: Int get() = open.size

    /** Calls in progress. */
    val calls: Set<TrackedCall> get() = open

    init {
        metrics.gauge("vanillarun_requests_in_progress", "Calls in progress.") { inProgress.toDouble() }
    }

    /** Runs [call] with request id [id] and counts it as in progress until it returns or throws. */
    suspend fun track(id: String?, call: suspend (TrackedCall) -> Unit) {
        val tracked = TrackedCall(id)
        open += tracked
        try {
            call(tracked)
        } finally {
            open -= tracked
        }
    }

    /** Records the [status] and duration of a completed call in the metrics. */
    fun recordResponse(status: Int, elapsed: Duration) = metrics.recordResponse("all", "$status", elapsed)
}
