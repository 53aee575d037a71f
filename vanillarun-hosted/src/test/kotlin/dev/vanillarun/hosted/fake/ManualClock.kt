package dev.vanillarun.hosted.fake

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlin.time.Duration

/** Clock that moves only by calls of [advance]. */
class ManualClock : MonotonicClock {
    @Volatile
    private var at = Instant(0)

    override fun now(): Instant = at

    fun advance(by: Duration) {
        at += by
    }
}
