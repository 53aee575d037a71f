package dev.vanillarun.hosted

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.metrics.DaemonMetrics
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/**
 * Tells whether the heap was exhausted a moment ago. Any work of the process may fail then, so that callers are better
 * served by other instances.
 */
internal class HeapMonitor(private val clock: MonotonicClock, private val events: EventRecorder) {
    private val lastFailure = AtomicReference<Instant?>()

    /** Number of failures by an exhausted heap. */
    @Volatile
    var failures = 0L
        private set

    /** True from a failure until [RECOVERY_TIME] has passed without another one. */
    val isExhausted: Boolean get() = lastFailure.get()?.let { clock.now() - it < RECOVERY_TIME } ?: false

    /** Notes that [place] failed by [cause]; has an effect if that is an exhausted heap. */
    @Synchronized
    fun failed(place: String, cause: Throwable) {
        if (generateSequence(cause) { it.cause }.take(MAX_CAUSES).none { it is OutOfMemoryError }) return
        val isFirst = !isExhausted
        failures++
        lastFailure.set(clock.now())
        if (isFirst) events.recordIfPossible("heap.exhausted") { mapOf("place" to place, "reason" to "$cause") }
    }

    /** Registers the metrics. */
    fun register(metrics: DaemonMetrics) {
        val help = "Failures by an exhausted heap; the instance is not ready for some seconds after each."
        metrics.counter("vanillarun_heap_exhausted_total", help, "kind") { mapOf("heap" to failures) }
    }

    private companion object {
        /** Longer than the load balancer takes to notice: two probes, one per second. */
        val RECOVERY_TIME = 5.seconds

        /** Limit of a chain of causes, which may be a cycle. */
        const val MAX_CAUSES = 8
    }
}

/** Records a failure as an event, or nothing if there is no memory for it: what follows a failure must go on. */
internal fun EventRecorder.recordIfPossible(
    name: String,
    links: EventLinks = EventLinks(),
    attributes: () -> Map<String, String>,
) {
    try {
        record(name, links, attributes())
    } catch (_: OutOfMemoryError) {
        // The metrics have counted the failure.
    }
}
