package dev.vanillarun.daemon.dispatch

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.quarantine.CrashLedger
import dev.vanillarun.core.quarantine.Fingerprint
import dev.vanillarun.core.quarantine.QuarantineLevel
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.target.TargetProbe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives each crash of a target that this instance attributes to a request. */
public fun interface CrashSink {
    /**
     * Reports that [fingerprint] is suspected of the crash of [target]. Returns once peers were notified, before a
     * resend can reach them.
     */
    public suspend fun report(fingerprint: Fingerprint, target: TargetId)
}

/** Detects crashes of targets and records which requests are suspected of causing them. */
public class CrashMonitor(
    private val scope: CoroutineScope,
    private val probe: TargetProbe,
    private val clock: MonotonicClock,
    private val sink: CrashSink,
) {
    private class Investigation(val suspects: MutableSet<Fingerprint>, val completion: Deferred<Unit>)

    private val ledger = AtomicReference(CrashLedger())
    private val investigations = ConcurrentHashMap<TargetId, Investigation>()

    /** Restriction under which the request may run now. */
    public fun quarantineLevel(fingerprint: Fingerprint): QuarantineLevel =
        ledger.get().quarantineLevel(fingerprint, clock.now())

    /** Targets that the request is suspected of having crashed. */
    public fun crashedTargets(fingerprint: Fingerprint): Set<TargetId> =
        ledger.get().crashedTargets(fingerprint, clock.now())

    /** Remaining time for which the request is rejected. */
    public fun refusedFor(fingerprint: Fingerprint): Duration = ledger.get().refusedFor(fingerprint, clock.now())

    /** Records that a run of the request completed without a crash. */
    public fun completed(fingerprint: Fingerprint) {
        val current = ledger.get()
        if (fingerprint in current.suspectedCrashes) ledger.updateAndGet { it.completed(fingerprint, clock.now()) }
    }

    /** Records a crash that another instance reported. */
    public fun observed(fingerprint: Fingerprint, target: TargetId) {
        ledger.updateAndGet { it.observed(fingerprint, target, clock.now()) }
    }

    /** Probes the target of [attempt], whose connection broke. Returns once it is known whether the target crashed. */
    public suspend fun investigate(attempt: RunningAttempt) {
        val fingerprint = attempt.fingerprint ?: return
        val state = attempt.state
        val open = investigations.compute(state.id) { _, old ->
            old ?: Investigation(ConcurrentHashMap.newKeySet(), scope.async { examine(state) })
        }
        checkNotNull(open).suspects += fingerprint
        open.completion.await()
    }

    private suspend fun examine(state: TargetState) {
        try {
            delay(GATHERING_DELAY)
            val running = state.running.mapNotNullTo(HashSet()) { it.fingerprint }
            if (probe.accepts(state.target)) return
            running += investigations[state.id]?.suspects.orEmpty()
            val now = clock.now()
            ledger.updateAndGet { it.crashed(state.id, running, now) }
            running.forEach { sink.report(it, state.id) }
        } finally {
            investigations.remove(state.id)
        }
    }

    private companion object {
        /** Time within which all connections of a crashed process break. */
        val GATHERING_DELAY = 30.milliseconds
    }
}
