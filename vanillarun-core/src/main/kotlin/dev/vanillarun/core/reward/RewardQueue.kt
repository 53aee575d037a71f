package dev.vanillarun.core.reward

import dev.vanillarun.core.retry.RetryBackoff
import dev.vanillarun.core.retry.RetryBudget
import dev.vanillarun.core.sample.DispatchWindow
import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** End of a reward call, as far as it says something about the room at the targets. */
public enum class RewardCallEnd {
    /** A target answered. */
    ANSWERED,

    /** The targets refused the call for lack of capacity. */
    REFUSED,

    /** No target could get the call: none is known, or conditions withhold it from all. */
    WITHHELD,

    /** Anything else: a failure, or the call was cancelled. */
    OTHER,
}

/**
 * Reward calls of one instance to one service: a window of concurrent calls, and the order of those that wait for it.
 *
 * The window is unlimited until a call is refused. A refusal halves it and stops further calls for a backoff that
 * doubles with each refusal in a row; answers widen it again, and it is unlimited again after [REOPENING_TIME] without
 * a refusal. Calls of groups that can still be in time come first,
 * fewest open items and nearest due time first; of [AGED_SHARE] calls one is the oldest, so that none starves.
 *
 * Mutable and not thread-safe: one coroutine owns it, or all calls are confined to one thread at a time.
 */
public class RewardQueue<T : Any>(
    private val windowBackoff: RetryBackoff,
    private val repeatBackoff: RetryBackoff,
    private val longBackoff: RetryBackoff,
    private val groupOf: (T) -> RewardGroup,
) {
    private val waiting = ArrayList<T>()
    private var window = Unlimited
    private var refusedAt: Instant? = null
    private var budget = RetryBudget()
    private var refusalsInRow = 0
    private var started = 0L

    /** Calls that wait, in the order of their arrival. */
    public val size: Int get() = waiting.size

    /** Calls in flight. */
    public var running: Int = 0
        private set

    /** Maximum number of calls in flight. */
    public val windowSize: Int get() = window.size

    /** Time before which no call starts; null if no call was refused yet. */
    public val backoffUntil: Instant? get() = window.backoffUntil

    /** Number of repeats that the budget did not cover, which wait longer. */
    public var repeatsWithheld: Long = 0
        private set

    /** Adds [call] to the waiting calls. */
    public fun offer(call: T) {
        waiting += call
    }

    /** Removes the waiting [call]; false if it does not wait. */
    public fun remove(call: T): Boolean = waiting.remove(call)

    /** Takes the call that starts now; null if none waits or the window has no room. */
    public fun poll(now: Instant): T? {
        reopen(now)
        if (waiting.isEmpty() || window.availableAttempts(running, now) == 0) return null
        val index = if (started % AGED_SHARE == AGED_SHARE - 1L) 0 else mostUrgent(now)
        started++
        running++
        return waiting.removeAt(index)
    }

    /** Ends a call that [poll] returned; true if a refusal made the window smaller. */
    public fun ended(end: RewardCallEnd, now: Instant): Boolean {
        val before = window
        when (end) {
            RewardCallEnd.ANSWERED -> {
                refusalsInRow = 0
                window = window.attemptCompleted()
            }

            RewardCallEnd.REFUSED -> refused(now)

            RewardCallEnd.WITHHELD, RewardCallEnd.OTHER -> Unit
        }
        running--
        return end == RewardCallEnd.REFUSED && window != before
    }

    private fun reopen(now: Instant) {
        val last = refusedAt ?: return
        if (now - last < REOPENING_TIME) return
        window = Unlimited
        refusedAt = null
        refusalsInRow = 0
    }

    private fun refused(now: Instant) {
        refusedAt = now
        val after = window.attemptRejected(now, windowBackoff.delayAfter(refusalsInRow + 1), running)
        if (after != window) refusalsInRow++
        window = after
    }

    /** Counts a first attempt, which adds to the budget of repeats. */
    public fun firstAttempt() {
        budget = budget.firstAttempt()
    }

    /**
     * Delay before a call is offered again after [failures] failed attempts, the last of which ended with [end]; longer
     * after a refusal beyond the budget of repeats, and growing while no target can get the call.
     */
    public fun repeatDelay(failures: Int, end: RewardCallEnd): Duration {
        if (end == RewardCallEnd.WITHHELD) return repeatBackoff.delayAfter(failures)
        if (end != RewardCallEnd.REFUSED) return repeatBackoff.delayAfter(1)
        val left = budget.spend()
        if (left != null) {
            budget = left
            return repeatBackoff.delayAfter(failures)
        }
        repeatsWithheld++
        return longBackoff.delayAfter(failures)
    }

    private fun mostUrgent(now: Instant): Int {
        var best = 0
        for (index in 1 until waiting.size) {
            if (isMoreUrgent(groupOf(waiting[index]), groupOf(waiting[best]), now)) best = index
        }
        return best
    }

    private fun isMoreUrgent(group: RewardGroup, other: RewardGroup, now: Instant): Boolean {
        val late = group.isLate(now)
        if (late != other.isLate(now)) return !late
        if (group.openItems != other.openItems) return group.openItems < other.openItems
        val due = group.dueAt ?: return false
        return other.dueAt?.let { due < it } ?: true
    }

    /** Fixed parameters and the usual construction. */
    public companion object {
        /** Of this many calls one is that which has waited longest. */
        public const val AGED_SHARE: Int = 8
        private const val UNLIMITED = 4096
        private val Unlimited =
            DispatchWindow(size = UNLIMITED, minSize = 1, maxSize = UNLIMITED, growthDivisor = 1)

        /** Time without a refusal after which a former shortage says nothing about the room. */
        public val REOPENING_TIME: Duration = 5.seconds

        /** Longest time for which an instance leaves a refusing service alone. */
        public val MAX_BACKOFF: Duration = 1.seconds

        /** About the time in which a slot of a plain target becomes free. */
        private val FIRST_BACKOFF = 40.milliseconds

        /** First delay of a repeat that the budget does not cover. */
        private val FIRST_LONG_BACKOFF = 500.milliseconds

        /** Creates a queue whose delays are drawn from [random]. */
        public fun <T : Any> create(random: kotlin.random.Random, groupOf: (T) -> RewardGroup): RewardQueue<T> =
            RewardQueue(
                windowBackoff = RetryBackoff(random, FIRST_BACKOFF, MAX_BACKOFF),
                repeatBackoff = RetryBackoff(random, FIRST_BACKOFF, MAX_BACKOFF),
                longBackoff = RetryBackoff(random, FIRST_LONG_BACKOFF, MAX_BACKOFF * 2),
                groupOf = groupOf,
            )
    }
}
