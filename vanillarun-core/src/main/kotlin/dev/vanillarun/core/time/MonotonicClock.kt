package dev.vanillarun.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Reading of a monotonic clock of this process; comparable only within one process. */
@JvmInline
public value class Instant(
    /** Nanoseconds since an arbitrary origin. */
    public val nanos: Long,
) : Comparable<Instant> {
    /** Reading [duration] after this one. */
    public operator fun plus(duration: Duration): Instant = Instant(nanos + duration.inWholeNanoseconds)

    /** Reading [duration] before this one. */
    public operator fun minus(duration: Duration): Instant = Instant(nanos - duration.inWholeNanoseconds)

    /** Time elapsed from [other] to this reading; negative if [other] is later. */
    public operator fun minus(other: Instant): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Instant): Int = nanos.compareTo(other.nanos)
}

/** Source of monotonic time. All decisions use it instead of a wall clock, which may be set back or jump. */
public fun interface MonotonicClock {
    /** Current reading, never less than an earlier one of this process. */
    public fun now(): Instant
}

/** Monotonic clock of the JVM, [System.nanoTime]. */
public object SystemClock : MonotonicClock {
    override fun now(): Instant = Instant(System.nanoTime())
}
