package dev.vanillarun.hosted

import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.daemon.metrics.DaemonMetrics
import dev.vanillarun.hosted.store.storeBackoff
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/**
 * Keeps the components of an instance running: one that fails with an unexpected error is recorded as
 * `component.failed`, counted in `vanillarun_component_failures_total` and started again after a backoff.
 */
internal class ComponentSupervisor(
    private val scope: CoroutineScope,
    private val events: EventRecorder,
    metrics: DaemonMetrics,
    private val heap: HeapMonitor,
) {
    private val failures = ConcurrentHashMap<String, Long>()

    init {
        metrics.counter(
            name = "vanillarun_component_failures_total",
            help = "Unexpected errors that ended a component, which was then started again.",
            label = "component",
        ) { failures.toMap() }
    }

    /** Starts the component [name]; [run] must be safe to call again after it has failed. */
    @Suppress("TooGenericExceptionCaught") // Any defect of a component.
    fun start(name: String, run: suspend () -> Unit): Job = scope.launch {
        val backoff = storeBackoff()
        var consecutive = 0
        while (true) {
            try {
                return@launch run()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Throwable) { // An Error, too: a component that ended would stay away for good, unnoticed.
                failures.merge(name, 1, Long::plus)
                heap.failed(name, e)
                events.recordIfPossible("component.failed") {
                    val place = e.stackTrace.firstOrNull()?.toString().orEmpty()
                    mapOf("component" to name, "reason" to "$e", "at" to place)
                }
                delay(backoff.delayAfter(consecutive++))
            }
        }
    }
}
