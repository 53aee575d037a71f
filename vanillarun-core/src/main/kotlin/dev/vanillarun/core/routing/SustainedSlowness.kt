package dev.vanillarun.core.routing

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells targets that have become slow from those that are slow for a moment, since their machine is busy with other
 * work. The moments pass sooner than a run is moved and has its prompt read again. Not thread-safe.
 */
public class SustainedSlowness(private val minDuration: Duration = 1.seconds) {
    private val slowSince = HashMap<TargetId, Instant>()

    /** Records whether [target] [isSlow] at [now]; returns true if it has been, each time, for the minimum duration. */
    public fun observe(target: TargetId, isSlow: Boolean, now: Instant): Boolean {
        if (!isSlow) {
            slowSince.remove(target)
            return false
        }
        return now - slowSince.getOrPut(target) { now } >= minDuration
    }
}
