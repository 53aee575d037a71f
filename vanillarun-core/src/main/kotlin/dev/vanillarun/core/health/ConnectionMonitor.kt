package dev.vanillarun.core.health

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of silence on a connection that owes an answer. */
public data class SilenceLimits(
    /** Silence after which a probe is sent on a new connection. */
    public val quietAfter: Duration = 2.seconds,
    /** Time that a probe may take. */
    public val probeTimeout: Duration = 1.seconds,
    /** Failed probes in a row after which the target counts as dead. */
    public val failedProbes: Int = 2,
    /** Silence after which an answer that nothing is known about is given up although probes work. */
    public val patience: Duration = 30.seconds,
)

/** What happened on or beside a connection. */
public sealed interface ConnectionEvent {
    /** Bytes of the answer, or a heartbeat, came. */
    public data object Received : ConnectionEvent

    /** Time passed. */
    public data object Tick : ConnectionEvent

    /** The probe on a new connection was answered. */
    public data class ProbeSucceeded(
        /** Whether the target still runs the request; null if it cannot tell. */
        public val stillRunning: Boolean? = null,
    ) : ConnectionEvent

    /** The probe failed. */
    public data object ProbeFailed : ConnectionEvent
}

/** What the owner of a connection has to do. */
public enum class ConnectionDecision {
    /** Wait on. */
    WAIT,

    /** Probe the target on a new connection and report the result. */
    PROBE,

    /** The target works and this connection does not: close it and its siblings of the same age. */
    DEAD_CONNECTION,

    /** The target cannot be reached on a new connection, either. */
    DEAD_TARGET,
}

/**
 * Tells a slow answer from a connection that has gone silent for good.
 *
 * Silence alone proves nothing: it leads to a probe on a new connection. If that works, the old connection is dead when
 * the target says that it no longer runs the request, or when the connection used to carry regular bytes or heartbeats
 * ([expectsBytes]) and carries none. An answer that the target confirms to be running is waited for.
 *
 * ```kotlin
 * val (next, verdict) = watch.after(ConnectionEvent.Tick, now)
 * ```
 */
public data class ConnectionMonitor(
    /** When the last bytes came, or the request was sent. */
    public val lastReceived: Instant,
    /** True if bytes or heartbeats are due at least once in each quiet period. */
    public val expectsBytes: Boolean = false,
    /** When the present probe was sent; null if none is under way. */
    public val probeSince: Instant? = null,
    /** When the last probe ended. */
    public val lastProbe: Instant? = null,
    /** Failed probes since the last sign of life. */
    public val failures: Int = 0,
    /** Limits. */
    public val limits: SilenceLimits = SilenceLimits(),
) {
    /** A watch and what to do next. */
    public data class Step(
        /** The watch from here on. */
        public val next: ConnectionMonitor,
        /** What to do. */
        public val verdict: ConnectionDecision,
    )

    /** Takes in [event] at [now]. */
    public fun after(event: ConnectionEvent, now: Instant): Step = when (event) {
        ConnectionEvent.Received -> Step(copy(lastReceived = now, probeSince = null, failures = 0), WAIT)
        ConnectionEvent.Tick -> ticked(now)
        is ConnectionEvent.ProbeSucceeded -> answered(event, now)
        ConnectionEvent.ProbeFailed -> failed(now)
    }

    private fun ticked(now: Instant): Step {
        if (probeSince != null) return if (now - probeSince >= limits.probeTimeout) failed(now) else Step(this, WAIT)
        val quietSince = maxOf(lastReceived, lastProbe ?: lastReceived)
        return if (now - quietSince >= limits.quietAfter) Step(copy(probeSince = now), PROBE) else Step(this, WAIT)
    }

    private fun answered(probe: ConnectionEvent.ProbeSucceeded, now: Instant): Step {
        val next = copy(probeSince = null, lastProbe = now, failures = 0)
        if (probeSince == null || lastReceived > probeSince) return Step(next, WAIT)
        val silence = now - lastReceived
        val dead =
            when (probe.stillRunning) {
                true -> expectsBytes && silence >= limits.quietAfter * RUNNING_GRACE
                false -> true
                null -> (expectsBytes && silence >= limits.quietAfter) || silence >= limits.patience
            }
        return Step(next, if (dead) ConnectionDecision.DEAD_CONNECTION else WAIT)
    }

    private fun failed(now: Instant): Step {
        if (probeSince == null) return Step(this, WAIT)
        val next = copy(failures = failures + 1, probeSince = now)
        return when {
            next.failures >= limits.failedProbes -> Step(next.copy(probeSince = null), ConnectionDecision.DEAD_TARGET)
            else -> Step(next, PROBE)
        }
    }

    private companion object {
        val WAIT = ConnectionDecision.WAIT
        val PROBE = ConnectionDecision.PROBE

        /** Quiet periods granted to an answer that should carry bytes and that the target says it still runs. */
        const val RUNNING_GRACE = 2
    }
}
