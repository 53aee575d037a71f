package dev.vanillarun.hosted.duty

import dev.vanillarun.core.lease.LeaseParticipant
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.daemon.agreement.DutyRunner
import kotlin.time.Duration

/**
 * The duty to give orders and to report usage.
 *
 * The hosting platform does not check fencing numbers. It counts it as a fault if two instances take turns within
 * [noTurns], so an instance that regains the duty rests until its last action lies that far back, and one that has just
 * started rests as long, because its previous run may have acted.
 */
internal class ControlDuty(
    private val runner: DutyRunner,
    private val noTurns: Duration,
    private val clock: MonotonicClock,
) {
    private data class Acted(val term: Offset, val at: Instant)

    private val startedAt = clock.now()

    @Volatile
    private var acted: Acted? = null

    /** Name of the duty. */
    val name: String get() = runner.duty.value

    /** Term that is held now, or null. */
    val heldTerm: Offset? get() = runner.state.value.takeIf { it.mayAct(clock.now()) }?.term

    /** Takes part in the lease until the calling coroutine is cancelled. */
    suspend fun run(): Nothing = runner.run()

    /** True if something that takes [needed] may be begun now. */
    fun mayAct(needed: Duration): Boolean = mayAct(runner.state.value, needed)

    private fun mayAct(lease: LeaseParticipant, needed: Duration): Boolean {
        val now = clock.now()
        val last = acted
        val rested = if (last ==
            null
        ) {
            now - startedAt >= noTurns
        } else {
            last.term == lease.term || now - last.at >= noTurns
        }
        return rested && lease.mayAct(now, needed)
    }

    /** Runs [act] if it may be begun now and its sending is still allowed; null if not. */
    suspend fun <T> perform(needed: Duration, act: suspend (term: Offset) -> PlatformResult<T>): PlatformResult<T>? {
        if (!mayAct(needed)) return null
        return runner.performBeside(needed) { term, guard ->
            if (guard.permits()) {
                acted = Acted(term, clock.now())
                act(term).also { acted = Acted(term, clock.now()) }
            } else {
                PlatformResult.Withheld
            }
        }
    }

    /** Stops acting and hands the duty over. */
    suspend fun stop(patience: Duration) = runner.stop(patience)
}
