package dev.vanillarun.hosted.store

import kotlin.time.Duration

/**
 * Silence that a read bears before it is given up: [initial], doubled after each failure in a row up to [limit].
 *
 * A limit that is shorter than its work never lets the work end when it is repeated unchanged, and the repeats keep the
 * store from the reads that would succeed.
 */
internal class GrowingSilence(private val initial: Duration, private val limit: Duration) {
    /** Limit of the next read. */
    @Volatile
    var current: Duration = initial
        private set

    /** Returns to the initial limit. */
    fun succeeded() {
        current = initial
    }

    /** Doubles the limit of the next read. */
    fun failed() {
        current = minOf(current * 2, limit)
    }
}
