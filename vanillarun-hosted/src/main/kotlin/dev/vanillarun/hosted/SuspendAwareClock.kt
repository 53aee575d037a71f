package dev.vanillarun.hosted

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Monotonic clock that also counts the time in which the machine was suspended.
 *
 * The JVM's own clock stands still meanwhile, and a lease that ran out would seem to be held. Wall-clock time that
 * runs ahead of it is added; a wall clock that is set back changes nothing, one that is set ahead ends a lease early.
 */
public class SuspendAwareClock(
    private val steadyNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) : MonotonicClock {
    private var lastSteady = steadyNanos()
    private var lastWall = wallMillis()
    private var suspended = 0L

    @Synchronized
    override fun now(): Instant {
        val steady = steadyNanos()
        val wall = wallMillis()
        val ahead = (wall - lastWall).milliseconds.inWholeNanoseconds - (steady - lastSteady)
        if (ahead > SMALLEST_SUSPENSION_NANOS) suspended += ahead
        lastSteady = steady
        lastWall = wall
        return Instant(steady + suspended)
    }

    private companion object {
        /** Difference of the two clocks that is no mere correction of the wall clock. */
        const val SMALLEST_SUSPENSION_NANOS = 50_000_000L
    }
}
