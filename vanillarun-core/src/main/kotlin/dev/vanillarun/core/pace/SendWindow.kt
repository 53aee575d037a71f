package dev.vanillarun.core.pace

import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests of one sender that may have been sent within the last second. Immutable.
 *
 * The time at which a request really leaves lies between the permission and the first sign that it was sent, such as
 * the head of its response; the process may be frozen in between. It therefore counts from the permission until [Span]
 * after that sign. If each permission is given only while fewer than n count, any second holds at most n requests.
 */
public data class SendWindow(private val unconfirmed: Int = 0, private val confirmed: List<Instant> = emptyList()) {
    /** Number of requests that count at [now]. */
    public fun used(now: Instant): Int = unconfirmed + confirmed.count { now - it < Span }

    /** Time from which fewer than [limit] requests count at the earliest; null if that depends on responses. */
    public fun opensAt(limit: Int): Instant? {
        val free = limit - unconfirmed
        return if (free <= 0) null else confirmed.getOrNull(confirmed.size - free)?.plus(Span)
    }

    /** Counts a request that was permitted at [now]. */
    public fun permitted(now: Instant): SendWindow = SendWindow(unconfirmed + 1, confirmed.filter { now - it < Span })

    /** Records that a permitted request was sent by [now]. */
    public fun confirmed(now: Instant): SendWindow =
        SendWindow(maxOf(0, unconfirmed - 1), confirmed.filter { now - it < Span } + now)

    /** Records that a permitted request was not sent and will not be. */
    public fun withdrawn(): SendWindow = copy(unconfirmed = maxOf(0, unconfirmed - 1))

    /** Constants of the window. */
    public companion object {
        /** A second and what clocks of two machines may differ by in it. */
        public val Span: Duration = 1050.milliseconds
    }
}
