package dev.vanillarun.core.membership

import kotlin.time.Duration

/**
 * Interval between heartbeats, which grows with the size of the data centre.
 *
 * In a large data centre each heartbeat carries more, so fewer are sent. This bounds the traffic that an instance sends
 * and receives per second, while liveness signals still reach every instance well before the liveness timeout.
 */
public data class HeartbeatIntervals(
    /** Interval in a small data centre. */
    public val shortest: Duration,
    /** Number of other instances in the data centre up to which the shortest interval applies. */
    public val smallSize: Int = 14,
    /** Maximum multiple of the shortest interval. */
    public val maxMultiple: Int = 3,
) {
    /** Interval for an instance with [localPeers] other instances in its data centre. */
    public fun interval(localPeers: Int): Duration =
        shortest * (localPeers.toDouble() / smallSize).coerceIn(1.0, maxMultiple.toDouble())
}
