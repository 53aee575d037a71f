package dev.vanillarun.hosted.duty

import dev.vanillarun.core.lease.LeaseParticipant
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.agreement.DutyRunner
import kotlinx.coroutines.flow.first
import kotlin.time.Duration

/**
 * The duty to order weight loads and targets and to report usage.
 *
 * The hosting platform does not check fencing tokens. It treats it as a fault if two instances alternate, so that one
 * acts again within [quietPeriod] although another has acted in between. An instance that reacquires the duty therefore
 * waits until its last action is that long ago. One that has just started waits as long, because its previous process
 * may have acted.
 */
internal class ControlDuty(
    private val runner: DutyRunner,
    private val quietPeriod: Duration,
    private val clock: MonotonicClock,
) {
    private data class LastAction(val term: Offset, val at: Instant)

    private val startedAt = clock.now()

    @Volatile
    private var lastAction: LastAction? = null

    /** Name of the duty in the lease records, in events and in the status. */
    val name: String get() = runner.duty.value

    /** Term of the lease while this instance holds it, regardless of the quiet period; else null. */
    val heldTerm: Offset? get() = runner.state.value.takeIf { it.mayAct(clock.now()) }?.term

    /** Acquires and renews the lease until the calling coroutine is cancelled. */
    suspend fun run(): Nothing = runner.run()

    /** Suspends until this instance holds the lease; it may have to rest before it acts, see [mayAct]. */
    suspend fun awaitLease() {
        runner.state.first { it.mayAct(clock.now()) }
    }

    /** True if an action that takes up to [needed] may start now and would end before the lease expires. */
    fun mayAct(needed: Duration): Boolean = mayAct(runner.state.value, needed)

    private fun mayAct(lease: LeaseParticipant, needed: Duration): Boolean {
        val now = clock.now()
        val previous = lastAction
        val quietPeriodOver = if (previous ==
            null
        ) {
            now - startedAt >= quietPeriod
        } else {
            previous.term == lease.term || now - previous.at >= quietPeriod
        }
        return quietPeriodOver && lease.mayAct(now, needed)
    }

    /**
     * Runs [action] with the term as its fencing token. Returns null if an action that takes up to [needed] may not
     * start now, and Withheld if the lease has expired by the time of the send.
     */
    suspend fun <T> perform(needed: Duration, action: suspend (term: Offset) -> PlatformResult<T>): PlatformResult<T>? {
        if (!mayAct(needed)) return null
        return runner.performConcurrently(needed) { term, guard ->
            if (guard.permits()) {
                lastAction = LastAction(term, clock.now())
                action(term).also { lastAction = LastAction(term, clock.now()) }
            } else {
                PlatformResult.Withheld
            }
        }
    }

    /** Stops acting and releases the lease, so that another instance can acquire it; waits at most [timeout]. */
    suspend fun stop(timeout: Duration) = runner.stop(timeout)
}
