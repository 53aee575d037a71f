package dev.vanillarun.hosted.job

import dev.vanillarun.core.reward.RewardCallEnd
import dev.vanillarun.core.reward.RewardGroup
import dev.vanillarun.core.reward.RewardQueue
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Suspends reward calls of one route until the [RewardQueue] starts them.
 *
 * Confined to the thread of the [JobRunner], except [waiting], [window] and [repeatsWithheld], which metrics read.
 */
internal class RewardLane(
    private val route: String,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    random: Random = Random.Default,
) {
    private class Ticket(val group: RewardGroup) {
        val start = CompletableDeferred<Unit>()
    }

    private val queue = RewardQueue.create<Ticket>(random) { it.group }

    /** Number of calls that wait. */
    @Volatile
    var waiting: Int = 0
        private set

    /** Maximum number of calls in flight. */
    @Volatile
    var window: Int = queue.windowSize
        private set

    /** Number of repeats that the budget of repeats did not cover. */
    @Volatile
    var repeatsWithheld: Long = 0
        private set

    /** Runs [call] for an item of [group] in its turn; [endOf] tells what its result says about the room. */
    suspend fun <T> inTurn(group: RewardGroup, endOf: (T) -> RewardCallEnd, call: suspend () -> T): T {
        awaitTurn(group)
        var end = RewardCallEnd.OTHER
        try {
            return call().also { end = endOf(it) }
        } finally {
            ended(end)
        }
    }

    /** Counts the first attempt of a reward. */
    fun firstAttempt() = queue.firstAttempt()

    /** Delay before the next attempt after [failures] failed ones, the last of which ended with [end]. */
    fun repeatDelay(failures: Int, end: RewardCallEnd): Duration = queue.repeatDelay(failures, end).also { publish() }

    private suspend fun awaitTurn(group: RewardGroup) {
        val ticket = Ticket(group)
        queue.offer(ticket)
        startWaiting()
        try {
            while (!ticket.start.isCompleted) {
                val backoff = queue.backoffUntil?.let { it - clock.now() }?.takeIf { it > Duration.ZERO }
                withTimeoutOrNull(backoff ?: RewardQueue.MAX_BACKOFF) { ticket.start.await() }
                startWaiting()
            }
        } catch (e: CancellationException) {
            if (!queue.remove(ticket)) ended(RewardCallEnd.OTHER)
            throw e
        }
    }

    private fun ended(end: RewardCallEnd) {
        if (queue.ended(end, clock.now())) {
            val attributes = mapOf("route" to route, "window" to "${queue.windowSize}", "waiting" to "${queue.size}")
            events.record("reward.window", EventLinks(), attributes)
        }
        startWaiting()
    }

    private fun startWaiting() {
        generateSequence { queue.poll(clock.now()) }.forEach { it.start.complete(Unit) }
        publish()
    }

    private fun publish() {
        waiting = queue.size
        window = queue.windowSize
        repeatsWithheld = queue.repeatsWithheld
    }
}
