package dev.vanillarun.hosted.pace

import dev.vanillarun.core.pace.PaceRules
import dev.vanillarun.core.pace.PacedTarget
import dev.vanillarun.core.time.Instant
import dev.vanillarun.daemon.metrics.DaemonMetrics
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** What limits the requests to a target, for events and metrics. */
internal enum class PacePhase {
    /** It is cold, or may be; its allowance binds. */
    COLD,

    /** It is brought to its full load step by step. */
    WARMING,

    /** Nothing but its slots. */
    ENDED,
}

/** What limits the requests to this target under [rules] at [now]. */
internal fun PacedTarget.phase(rules: PaceRules, now: Instant): PacePhase = when {
    rules.allowance != null && cold.isCold(now) -> PacePhase.COLD
    rules.slowStart && pace != null -> PacePhase.WARMING
    else -> PacePhase.ENDED
}

/** Moving average of the time to the head of a response, by service. */
internal class UsualLatency {
    private val means = ConcurrentHashMap<String, Duration>()

    /** Includes a response of a target of [service] that runs at its full pace. */
    fun observed(service: String, latency: Duration) {
        means.compute(service) { _, mean -> if (mean == null) latency else mean + (latency - mean) * WEIGHT }
    }

    /** True if [latency] is much longer than usual; false while nothing is known. */
    fun isSlow(service: String, latency: Duration): Boolean =
        means[service]?.let { latency > it * SLOW_FACTOR } ?: false

    private companion object {
        /** Weight of a new observation. */
        const val WEIGHT = 0.1

        /** Multiple of the usual time from which a response is slow. */
        const val SLOW_FACTOR = 2.0
    }
}

/** Registers the metrics of [gate]. */
internal fun DaemonMetrics.registerPace(gate: PaceGate) {
    val paced = "Targets that are cold or brought to their full load, by state."
    gauge("vanillarun_paced_targets", paced, "state") { gate.targetsByPhase }
    val withheld = "Requests withheld from such targets immediately before they were sent, by cause."
    counter("vanillarun_paced_requests_withheld_total", withheld, "cause") { gate.withheldByCause }
}
