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

/** What a probe on a new connection found. */
public sealed interface ProbeFinding {
    /** The target answers; [runningSince] is when it last said that it runs nothing, null if it runs something. */
    public data class Answers(
        /** Time of a report by which the target runs nothing at all. */
        public val idleAt: Instant?,
    ) : ProbeFinding

    /** The target does not answer. */
    public data object Silent : ProbeFinding
}

/** Asks a target on a new connection. */
public fun interface LivenessProbe {
    /** Probes the target of [state]. */
    public suspend fun probe(state: TargetState): ProbeFinding
}

/** Watches the connections of attempts and ends those that have gone silent for good. */
public class SilenceMonitor(
    private val probe: LivenessProbe,
    private val clock: MonotonicClock,
    private val limits: SilenceLimits = SilenceLimits(),
    private val onDeadConnection: () -> Unit = {},
) {
    /** A connection that owes an answer. */
    public inner class MonitoredConnection internal constructor(
        internal val attempt: RunningAttempt,
        private val job: Job,
    ) {
        private var watch = ConnectionMonitor(clock.now(), limits = limits)

        /** Time of the newest bytes. */
        @Volatile
        private var received: Instant = clock.now()

        @Volatile
        private var streaming = false

        /** Why the connection was given up; null while it was not. */
        @Volatile
        public var verdict: ConnectionDecision? = null
            private set

        /** Bytes came; [stream] tells whether more are due soon. */
        public fun received(stream: Boolean) {
            received = clock.now()
            streaming = stream
        }

        /** True if a probe is due. */
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
            return if (idle > attempt.startedAt + SETTLING) false else null
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

    /** Starts to watch the connection of [attempt], which [job] owns. */
    public fun watch(attempt: RunningAttempt, job: Job): MonitoredConnection = MonitoredConnection(attempt, job).also {
        open +=
            it
    }

    /** Ends a watch. */
    public fun unwatch(watched: MonitoredConnection) {
        open -= watched
    }

    /** Watches until cancelled. */
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

        /** Age that a request must have before a report that the target is idle speaks against its connection. */
        val SETTLING: Duration = 1_000.milliseconds
    }
}
