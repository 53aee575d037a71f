package dev.vanillarun.core.order

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration

/** The order for targets that the hosting platform accepted last for one service in one data centre. */
public data class PlacedOrder(
    /** Targets that it asks for. */
    public val desired: Int,
    /** When it was accepted. */
    public val at: Instant,
    /** True once that many were there. */
    public val reached: Boolean = false,
) {
    /** Takes in that [present] targets are there. */
    public fun withPresent(present: Int): PlacedOrder = if (present >= desired) copy(reached = true) else this
}

/**
 * True if [desired] targets should be ordered at [now], while [present] are there.
 *
 * An order that was accepted is repeated if its targets were lost after they had come, or if they have not come within
 * [startup].
 */
public fun PlacedOrder?.isDue(desired: Int, present: Int, now: Instant, startup: Duration): Boolean = when {
    present == desired -> false
    this == null || this.desired != desired -> true
    else -> reached || now - at >= startup
}
