package dev.vanillarun.core.order

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/** Last order for targets that the hosting platform accepted for one service in one data centre. */
public data class PlacedOrder(
    /** Number of targets ordered. */
    public val desired: Int,
    /** Time at which the platform accepted the order. */
    public val at: Instant,
    /** True once [desired] targets have been present at the same time. */
    public val fulfilled: Boolean = false,
) {
    /** Returns the order after [present] targets were observed. */
    public fun withPresent(present: Int): PlacedOrder = if (present >= desired) copy(fulfilled = true) else this
}

/**
 * True if an order for [desired] targets should be sent at [now], given [present] targets.
 *
 * An accepted order is repeated if its targets were lost after it had been fulfilled, or if it is not fulfilled within
 * [startup]. A null receiver means that no order has been accepted yet.
 */
public fun PlacedOrder?.isDue(desired: Int, present: Int, now: Instant, startup: Duration): Boolean = when {
    present == desired -> false
    this == null || this.desired != desired -> true
    else -> fulfilled || now - at >= startup
}
