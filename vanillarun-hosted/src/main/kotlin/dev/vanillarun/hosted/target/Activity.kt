package dev.vanillarun.hosted.target

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.time.Duration

/** Time of the latest progress of an exchange; what counts as progress is up to the reader of the response. */
public class Activity internal constructor(private val clock: MonotonicClock) {
    /** Time of the latest [received] call; the creation time before the first. */
    @Volatile
    internal var last: Instant = clock.now()
        private set

    /** True while [exempt] runs. */
    @Volatile
    internal var isExempt: Boolean = false
        private set

    /** Resets the stall timeout. */
    public fun received() {
        last = clock.now()
    }

    /** Runs [block], during which the exchange does not stall: it waits for someone other than the target. */
    internal suspend fun exempt(block: suspend () -> Unit) {
        isExempt = true
        try {
            block()
        } finally {
            received()
            isExempt = false
        }
    }
}

/** Runs [block]; cancels it and returns null once [Activity.received] was not called for [limit], unless exempt. */
public suspend fun <T> withStallLimit(limit: Duration, clock: MonotonicClock, block: suspend (Activity) -> T): T? =
    coroutineScope {
        val activity = Activity(clock)
        val work = async { block(activity) }
        val watch = launch {
            while (true) {
                val left = if (activity.isExempt) limit else activity.last + limit - clock.now()
                if (left <= Duration.ZERO) work.cancel() else delay(left)
                if (left <= Duration.ZERO) break
            }
        }
        try {
            work.await()
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            null
        } finally {
            watch.cancel()
        }
    }

/** Maximum size of one event; a target that sends more without an end of the event is faulty. */
internal const val MAX_EVENT_BYTES: Int = 256 * 1024
