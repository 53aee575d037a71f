package dev.vanillarun.core.routing

import dev.vanillarun.core.time.Instant
import kotlin.math.ceil

/** Slots per other instance that an instance leaves free when it exceeds its own share of a target. */
private const val SLOTS_RESERVED_PER_INSTANCE = 2

/**
 * Returns the number of further requests that this instance may send to the target without queueing there, where
 * neither fairness nor priorities apply.
 *
 * [contenders] is the number of instances with requests for the route, including this one. Each may always use its
 * share of the target's slots: an equal share, or [share] if the instances' demands are known to differ. Beyond its
 * share, an instance leaves slots free for the others, since it cannot know their latest requests yet. Without a load
 * report, it stays within its share. A leaving or ejected target has no room: it would appear idle and attract all
 * requests.
 */
public fun TargetView.room(now: Instant, contenders: Int, share: Double = 1.0 / contenders.coerceAtLeast(1)): Int {
    if (leaving || ejected) return 0
    val others = contenders.coerceAtLeast(1) - 1
    val guaranteed = (concurrency * share).toInt().coerceAtLeast(1)
    val own = maxOf(guaranteed - stats.inFlight, 0)
    if (others > 0 && stats.report == null) return own
    val free = concurrency - SLOTS_RESERVED_PER_INSTANCE * others - stats.depth(now, concurrency)
    return maxOf(own, ceil(free).toInt())
}

/** True if the target has [room] for at least one more request of this instance. */
public fun TargetView.hasRoom(
    now: Instant,
    contenders: Int,
    share: Double = 1.0 / contenders.coerceAtLeast(1),
): Boolean = room(now, contenders, share) > 0
