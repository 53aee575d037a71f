package dev.vanillarun.core.overload

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What is known of the room at one target that may get a request. */
public data class TargetRoom(
    /** Maximum number of requests that run at once; above zero. */
    public val slots: Int,
    /** Requests running and waiting by a report that is still fresh; null if there is none. */
    public val busy: Int? = null,
    /** Requests that waited at the target when it refused one; null if it did not refuse any yet. */
    public val queueLimit: Int? = null,
    /** Remaining backoff after a refusal for lack of capacity; zero if there is none. */
    public val backoffLeft: Duration = Duration.ZERO,
    /** Expected time of a request; null if unknown. */
    public val serviceTime: Duration? = null,
) {
    private val isFullByReport: Boolean
        get() = busy != null && queueLimit != null && busy >= slots + queueLimit

    /** True if the target is known to refuse a request now. */
    public val isFull: Boolean get() = backoffLeft > Duration.ZERO || isFullByReport

    /** Time until the target is expected to have room; zero if it is not full. */
    public val roomIn: Duration
        get() {
            val nextSlot = if (isFullByReport) (serviceTime ?: Duration.ZERO) / slots else Duration.ZERO
            return maxOf(backoffLeft, nextSlot)
        }
}

/** What happens to a request before it is sent to any target. */
public sealed interface RoomDecision {
    /** A target may have room. */
    public data object Send : RoomDecision

    /** All targets are full, but room is expected soon enough: decide again after [delay]. */
    public data class Wait(
        /** Time to wait, above zero. */
        public val delay: Duration,
    ) : RoomDecision

    /** All targets are full for longer than the caller should be kept waiting. */
    public data object Refuse : RoomDecision
}

/**
 * Decides about a request that may wait for [maxWait] here.
 *
 * Waits end at random between the expected room and [maxWait], so that requests that wait together are not sent
 * together.
 */
public fun decideRoom(targets: List<TargetRoom>, maxWait: Duration, random: Random): RoomDecision {
    if (targets.isEmpty() || targets.any { !it.isFull }) return RoomDecision.Send
    val roomIn = targets.minOf { it.roomIn }.coerceAtLeast(MIN_WAIT)
    if (roomIn > maxWait) return RoomDecision.Refuse
    return RoomDecision.Wait(roomIn + (maxWait - roomIn) * random.nextDouble())
}

/**
 * Time after which the caller of a refused request should come back: when room is expected at one of [targets], not
 * before [usual], and within a third of the [timeLeft], beyond which no caller waits.
 */
public fun retryAfter(targets: List<TargetRoom>, usual: Duration, timeLeft: Duration): Duration {
    val roomIn = targets.minOfOrNull { it.roomIn } ?: Duration.ZERO
    return maxOf(roomIn, usual).coerceAtMost(timeLeft / RETRY_SHARE).coerceAtLeast(Duration.ZERO)
}

/** Callers wait for at most this fraction of the time that they have left. */
private const val RETRY_SHARE = 3

/** Shortest wait; a shorter one is within the accuracy of timers. */
private val MIN_WAIT = 1.milliseconds
