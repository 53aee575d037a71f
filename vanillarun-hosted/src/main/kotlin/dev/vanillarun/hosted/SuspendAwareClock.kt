package dev.vanillarun.hosted

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Monotonic clock that includes the time during which the machine was suspended.
 *
 * The JVM's monotonic clock stops during a suspension, so a lease that expired meanwhile would seem to be held. This
 * clock adds the time by which the wall clock advances more than the monotonic one. Setting the wall clock back has no
 * effect; setting it forward makes a lease expire early.
 */
public class SuspendAwareClock(
    private val monotonicNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) : MonotonicClock {
    private var lastMonotonic = monotonicNanos()
    private var lastWall = wallMillis()
    private var suspendedNanos = 0L

    @Synchronized
    override fun now(): Instant {
        val monotonic = monotonicNanos()
        val wall = wallMillis()
        val wallAheadNanos = (wall - lastWall).milliseconds.inWholeNanoseconds - (monotonic - lastMonotonic)
        if (wallAheadNanos > MIN_SUSPENSION_NANOS) suspendedNanos += wallAheadNanos
        lastMonotonic = monotonic
        lastWall = wall
        return Instant(monotonic + suspendedNanos)
    }

    private companion object {
        /** Smallest clock difference that counts as a suspension; corrections of the wall clock are smaller. */
        const val MIN_SUSPENSION_NANOS = 50_000_000L
    }
}
