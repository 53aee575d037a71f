package dev.vanillarun.hosted.job

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import kotlin.time.Duration.Companion.seconds

/**
 * Records the open items that have been at no engine for a while, with the reason.
 *
 * A report has at most [MAX_EVENTS] events, those of the longest waits, and follows the previous one after a second, so
 * its size grows neither with the items nor with the engines.
 */
internal class UnplacedItems(private val clock: MonotonicClock, private val events: EventRecorder) {
    /** An open item at no engine since [idleSince], for [reason]. */
    class Entry(val key: RunKey, val idleSince: Instant, val reason: () -> String)

    private var reportedAt: Instant? = null

    /** Reports the entries that [list] returns, unless the previous report is less than a second old. */
    fun report(list: () -> List<Entry>) {
        val now = clock.now()
        if (reportedAt?.let { now - it < Interval } == true) return
        reportedAt = now
        val overdue = list().filter { now - it.idleSince >= Interval }.sortedBy { it.idleSince }
        overdue.take(MAX_EVENTS).forEach { entry ->
            val attributes = mapOf(
                "idle_ms" to "${(now - entry.idleSince).inWholeMilliseconds}",
                "reason" to entry.reason(),
                "unplaced" to "${overdue.size}",
            )
            events.record(
                "item.unplaced",
                EventLinks(request = entry.key.job.value, sample = entry.key.item.value),
                attributes,
            )
        }
    }

    private companion object {
        val Interval = 1.seconds
        const val MAX_EVENTS = 20
    }
}
