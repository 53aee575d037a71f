package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.health.ConnectionDecision
import dev.vanillarun.core.health.ConnectionEvent
import dev.vanillarun.core.health.ConnectionMonitor
import dev.vanillarun.core.health.SilenceLimits
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of a probe on a new connection. */
public sealed interface ProbeFinding {
    /** The target responds. */
    public data class Answers(
        /** Time of a report that counts no requests at the target; null if it counts some, or there is no report. */
        public val idleAt: Instant?,
    ) : ProbeFinding

    /** The target does not respond. */
    public data object Silent : ProbeFinding
}

/** Probes a target on a new connection. */
public fun interface LivenessProbe {
    /** Probes the target of [state]; suspends until it responds or the probe times out. */
    public suspend fun probe(state: TargetState): ProbeFinding
}

/** Monitors the connections of attempts, and cancels the attempts whose connection or target is found to be dead. */
public class SilenceMonitor(
    private val probe: LivenessProbe,
    private val clock: MonotonicClock,
    private val limits: SilenceLimits = SilenceLimits(),
    private val onDeadConnection: () -> Unit = {},
) {
    /** A connection with a response outstanding. */
    public inner class MonitoredConnection internal constructor(
        internal val attempt: RunningAttempt,
        private val job: Job,
    ) {
        private var watch = ConnectionMonitor(clock.now(), limits = limits)

        /** When bytes were last received. */
        @Volatile
        private var received: Instant = clock.now()

        @Volatile
        private var streaming = false

        /** Why the attempt was cancelled; null if it was not. */
        @Volatile
        public var verdict: ConnectionDecision? = null
            private set

        /** Records that bytes were received; [stream] is true if more are expected soon. */
        public fun received(stream: Boolean) {
            received = clock.now()
            streaming = stream
        }

        /** Advances the monitor to [now]; true if a probe is due. */
        @Synchronized
        internal fun tick(now: Instant): Boolean {
            if (received > watch.lastReceived) {
                watch = watch.copy(expectsBytes = streaming).after(ConnectionEvent.Received, received).next
            }
            return take(ConnectionEvent.Tick, now)
        }

        @Synchronized
        internal fun probed(finding: ProbeFinding) {
            val event = when (finding) {
                is ProbeFinding.Answers -> ConnectionEvent.ProbeSucceeded(stillRunning(finding))
                ProbeFinding.Silent -> ConnectionEvent.ProbeFailed
            }
            take(event, clock.now())
        }

        private fun stillRunning(finding: ProbeFinding.Answers): Boolean? {
            val idle = finding.idleAt ?: return null
            return if (idle > attempt.startedAt + MIN_REQUEST_AGE) false else null
        }

        private fun take(event: ConnectionEvent, now: Instant): Boolean {
            val step = watch.after(event, now)
            watch = step.next
            when (step.verdict) {
                ConnectionDecision.WAIT -> Unit

                ConnectionDecision.PROBE -> return true

                ConnectionDecision.DEAD_CONNECTION, ConnectionDecision.DEAD_TARGET -> {
                    verdict = step.verdict
                    if (step.verdict == ConnectionDecision.DEAD_CONNECTION) onDeadConnection()
                    job.cancel()
                }
            }
            return false
        }
    }

    private val open = ConcurrentHashMap.newKeySet<MonitoredConnection>()

    /** Starts to monitor the connection of [attempt]; [job] is cancelled if it is found to be dead. */
    public fun watch(attempt: RunningAttempt, job: Job): MonitoredConnection = MonitoredConnection(attempt, job).also {
        open +=
            it
    }

    /** Stops to monitor a connection. */
    public fun unwatch(watched: MonitoredConnection) {
        open -= watched
    }

    /** Checks the connections until cancelled; probes are launched in [scope]. */
    public suspend fun run(scope: CoroutineScope): Nothing {
        while (true) {
            delay(TICK)
            val now = clock.now()
            val due = open.filter { it.tick(now) }.groupBy { it.attempt.state }
            due.forEach { (state, watched) ->
                scope.launch {
                    val finding = probe.probe(state)
                    watched.forEach { it.probed(finding) }
                }
            }
        }
    }

    private companion object {
        val TICK: Duration = 100.milliseconds

        /**
         * Minimum age of a request at the time of a report that the target is idle, for the report to count against the
         * connection: before, the request may not have reached the target.
         */
        val MIN_REQUEST_AGE: Duration = 1_000.milliseconds
    }
}
