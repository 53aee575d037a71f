package dev.vanillarun.hosted.log

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.EventId
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds

/**
 * Passes at most [perSecond] events of each name per second to [next] and drops the others.
 *
 * The first event after a window with drops has their number in the attribute `left_out_before`. Each event name has a
 * limit of its own, so a flood of one kind of event does not suppress another kind.
 */
public class RateLimitedEvents(
    private val next: EventRecorder,
    private val perSecond: Int = PER_SECOND,
    private val clock: MonotonicClock = SystemClock,
) : EventRecorder {
    private data class RateWindow(val since: Instant, val passed: Int, val dropped: Int)

    private val windows = ConcurrentHashMap<String, RateWindow>()

    override fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId {
        var droppedBefore = 0
        val now = clock.now()
        val window = windows.compute(name) { _, current ->
            when {
                current == null -> RateWindow(now, passed = 1, dropped = 0)

                now - current.since >= Window -> {
                    droppedBefore = current.dropped
                    RateWindow(now, passed = 1, dropped = 0)
                }

                current.passed < perSecond -> current.copy(passed = current.passed + 1)

                else -> current.copy(dropped = current.dropped + 1)
            }
        }
        if (window != null && window.dropped > 0) return DroppedEvent
        val more = if (droppedBefore > 0) attributes + ("left_out_before" to "$droppedBefore") else attributes
        return next.record(name, links, more)
    }

    private companion object {
        /** Default limit of events per name and second; enough for the items of three steps that start at once. */
        const val PER_SECOND = 150
        val Window = 1.seconds

        /** Event id returned for a dropped event. */
        val DroppedEvent = EventId(InstanceId("none"), Incarnation("none"), sequence = -1)
    }
}
