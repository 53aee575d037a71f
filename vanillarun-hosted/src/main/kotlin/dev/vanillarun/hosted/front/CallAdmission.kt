package dev.vanillarun.hosted.front

import dev.vanillarun.core.time.Instant
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/** Decides during a drain which calls are still served, and when those in progress end. */
internal class CallAdmission {
    @Volatile
    private var lastEnd: Instant? = null

    @Volatile
    private var refusing = false
    private val cutOff = CompletableDeferred<Unit>()

    /** From now on, admits only calls that end by [instant]. */
    fun admitUntil(instant: Instant) {
        lastEnd = instant
    }

    /** From now on, admits no call. */
    fun refuseAll() {
        refusing = true
    }

    /** Ends the calls in progress. */
    fun cutOff() {
        cutOff.complete(Unit)
    }

    /** True if a call that ends at [deadline] at the latest may begin. */
    fun admits(deadline: Instant): Boolean = !refusing && lastEnd.let { it == null || deadline <= it }

    /** Runs [call]; cancels it and returns null if calls in progress have to end. */
    suspend fun <T : Any> untilCutOff(call: suspend () -> T): T? = coroutineScope {
        val result = async { call() }
        select {
            result.onAwait { it }
            cutOff.onAwait {
                result.cancel()
                null
            }
        }
    }
}
