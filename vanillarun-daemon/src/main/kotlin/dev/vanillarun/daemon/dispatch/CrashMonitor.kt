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

/** Told of each crash that this instance puts down to a request. */
public fun interface CrashSink {
    /** [target] crashed because of [fingerprint]. Returns once peers were told, before a resend can reach them. */
    public suspend fun report(fingerprint: Fingerprint, target: TargetId)
}

/** Finds out which requests crash targets. */
public class CrashMonitor(
    private val scope: CoroutineScope,
    private val probe: TargetProbe,
    private val clock: MonotonicClock,
    private val sink: CrashSink,
) {
    private class Investigation(val suspects: MutableSet<Fingerprint>, val verdict: Deferred<Unit>)

    private val ledger = AtomicReference(CrashLedger())
    private val investigations = ConcurrentHashMap<TargetId, Investigation>()

    /** How a request may be run. */
    public fun quarantineLevel(fingerprint: Fingerprint): QuarantineLevel =
        ledger.get().quarantineLevel(fingerprint, clock.now())

    /** Targets that the request is held to have crashed. */
    public fun crashedTargets(fingerprint: Fingerprint): Set<TargetId> =
        ledger.get().crashedTargets(fingerprint, clock.now())

    /** Time until a refused request is tried again. */
    public fun refusedFor(fingerprint: Fingerprint): Duration = ledger.get().refusedFor(fingerprint, clock.now())

    /** A run completed. */
    public fun completed(fingerprint: Fingerprint) {
        val known = ledger.get()
        if (fingerprint in known.suspectedCrashes) ledger.updateAndGet { it.completed(fingerprint, clock.now()) }
    }

    /** Another instance tells of a crash. */
    public fun observed(fingerprint: Fingerprint, target: TargetId) {
        ledger.updateAndGet { it.observed(fingerprint, target, clock.now()) }
    }

    /** The connection of [attempt] broke: returns once it is known whether the target crashed. */
    public suspend fun investigate(attempt: RunningAttempt) {
        val fingerprint = attempt.fingerprint ?: return
        val state = attempt.state
        val open = investigations.compute(state.id) { _, old ->
            old ?: Investigation(ConcurrentHashMap.newKeySet(), scope.async { examine(state) })
        }
        checkNotNull(open).suspects += fingerprint
        open.verdict.await()
    }

    private suspend fun examine(state: TargetState) {
        try {
            delay(GATHERING)
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
        /** Time in which the connections of a crashed process break. */
        val GATHERING = 30.milliseconds
    }
}
