package dev.vanillarun.daemon.metrics

import java.lang.management.ManagementFactory
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.DurationUnit

private val Number = Regex("[-#@ ]*\\d.*")

/** Registers the processor time that the process has spent, in total and by what has spent it. */
public fun DaemonMetrics.registerProcessorTime(): Unit = gauge(
    name = "vanillarun_processor_seconds",
    help = "Processor time spent: of the process, of its compiler, and of its live threads by name.",
    label = "part",
    values = ::processorSeconds,
)

private fun processorSeconds(): Map<String, Double> {
    val threads = ManagementFactory.getThreadMXBean()
    val byName = threads.getThreadInfo(threads.allThreadIds).filterNotNull().groupingBy { groupOf(it.threadName) }
        .fold(0.0) { sum, thread -> sum + seconds(threads.getThreadCpuTime(thread.threadId)) }
    val compiler = ManagementFactory.getCompilationMXBean()?.takeIf { it.isCompilationTimeMonitoringSupported }
        ?.totalCompilationTime?.milliseconds?.toDouble(DurationUnit.SECONDS)
    val process = ProcessHandle.current().info().totalCpuDuration().map { it.toNanos() }.orElse(null)
    return byName.mapKeys { "thread ${it.key}" } +
        listOfNotNull(compiler?.let { "compiler" to it }, process?.let { "process" to seconds(it) })
}

/** Name of the threads of one kind: that of a thread without its number. */
private fun groupOf(thread: String): String = thread.replace(Number, "").ifEmpty { thread }

/** [nanoseconds] in seconds; zero if negative, as for a thread that has ended. */
private fun seconds(nanoseconds: Long): Double = nanoseconds.coerceAtLeast(0).nanoseconds.toDouble(DurationUnit.SECONDS)
