package dev.vanillarun.core.health

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of silence on a connection with an outstanding response. */
public data class SilenceLimits(
    /** Silence after which the target is probed on a new connection. */
    public val probeAfter: Duration = 2.seconds,
    /** Time after which a probe without a result counts as failed. */
    public val probeTimeout: Duration = 1.seconds,
    /** Consecutive failed probes after which the target is considered dead. */
    public val maxFailedProbes: Int = 2,
    /** Silence after which the connection counts as dead if the target cannot tell whether it runs the request. */
    public val maxSilence: Duration = 30.seconds,
)

/** Input of [ConnectionMonitor.after]. */
public sealed interface ConnectionEvent {
    /** Bytes of the response, or a heartbeat, were received. */
    public data object Received : ConnectionEvent

    /** A timer fired; checks whether a limit has been exceeded. */
    public data object Tick : ConnectionEvent

    /** The target responded to the probe on a new connection. */
    public data class ProbeSucceeded(
        /** Whether the target still runs the request; null if it cannot tell. */
        public val stillRunning: Boolean? = null,
    ) : ConnectionEvent

    /** The probe could not connect or got no response. */
    public data object ProbeFailed : ConnectionEvent
}

/** Action that the owner of a connection has to take. */
public enum class ConnectionDecision {
    /** Keep waiting for the response. */
    WAIT,

    /** Probe the target on a new connection and report the result as an event. */
    PROBE,

    /** The target works but this connection does not: close it and the other connections of the same age. */
    DEAD_CONNECTION,

    /** The target is not reachable on a new connection either. */
    DEAD_TARGET,
}

/**
 * Distinguishes a slow response from a dead connection. Immutable: each event gives the next state.
 *
 * Silence alone proves nothing, so it triggers a probe on a new connection. If that succeeds, the old connection is
 * dead if the target reports that it no longer runs the request, or if bytes or heartbeats are due regularly
 * ([expectsBytes]) and none arrive. Otherwise a response that the target reports as running is waited for.
 *
 * ```kotlin
 * val (next, verdict) = monitor.after(ConnectionEvent.Tick, now)
 * ```
 */
public data class ConnectionMonitor(
    /** Time of the last received bytes, or of sending the request. */
    public val lastReceived: Instant,
    /** True if bytes or heartbeats are due at least once in each period of [SilenceLimits.probeAfter]. */
    public val expectsBytes: Boolean = false,
    /** Time at which the probe in flight was sent; null if there is none. */
    public val probeStart: Instant? = null,
    /** Time at which the last successful probe ended; null before the first. */
    public val lastProbeEnd: Instant? = null,
    /** Consecutive failed probes since bytes were received or a probe succeeded. */
    public val failedProbes: Int = 0,
    /** Limits of silence and of probes. */
    public val limits: SilenceLimits = SilenceLimits(),
) {
    /** Next state and the action to take. */
    public data class Step(
        /** State to use for the next event. */
        public val next: ConnectionMonitor,
        /** Action that the owner has to take. */
        public val verdict: ConnectionDecision,
    )

    /** State and action after [event] at [now]. */
    public fun after(event: ConnectionEvent, now: Instant): Step = when (event) {
        ConnectionEvent.Received -> Step(copy(lastReceived = now, probeStart = null, failedProbes = 0), WAIT)
        ConnectionEvent.Tick -> ticked(now)
        is ConnectionEvent.ProbeSucceeded -> probeSucceeded(event, now)
        ConnectionEvent.ProbeFailed -> failed(now)
    }

    private fun ticked(now: Instant): Step {
        if (probeStart != null) return if (now - probeStart >= limits.probeTimeout) failed(now) else Step(this, WAIT)
        val silentSince = maxOf(lastReceived, lastProbeEnd ?: lastReceived)
        return if (now - silentSince >= limits.probeAfter) Step(copy(probeStart = now), PROBE) else Step(this, WAIT)
    }

    private fun probeSucceeded(probe: ConnectionEvent.ProbeSucceeded, now: Instant): Step {
        val next = copy(probeStart = null, lastProbeEnd = now, failedProbes = 0)
        if (probeStart == null || lastReceived > probeStart) return Step(next, WAIT)
        val silence = now - lastReceived
        val dead =
            when (probe.stillRunning) {
                true -> expectsBytes && silence >= limits.probeAfter * RUNNING_GRACE_PERIODS
                false -> true
                null -> (expectsBytes && silence >= limits.probeAfter) || silence >= limits.maxSilence
            }
        return Step(next, if (dead) ConnectionDecision.DEAD_CONNECTION else WAIT)
    }

    private fun failed(now: Instant): Step {
        if (probeStart == null) return Step(this, WAIT)
        val next = copy(failedProbes = failedProbes + 1, probeStart = now)
        return when {
            next.failedProbes >= limits.maxFailedProbes ->
                Step(next.copy(probeStart = null), ConnectionDecision.DEAD_TARGET)

            else -> Step(next, PROBE)
        }
    }

    private companion object {
        val WAIT = ConnectionDecision.WAIT
        val PROBE = ConnectionDecision.PROBE

        /** Periods of silence allowed despite [expectsBytes] while the target reports that it runs the request. */
        const val RUNNING_GRACE_PERIODS = 2
    }
}
