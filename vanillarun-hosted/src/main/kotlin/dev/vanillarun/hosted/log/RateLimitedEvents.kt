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
 * Passes on at most so many events of each name a second, and says how many were left out before the next one.
 *
 * Names share no allowance, so a flood of one kind of event does not hide another kind.
 */
public class RateLimitedEvents(
    private val next: EventRecorder,
    private val perSecond: Int = PER_SECOND,
    private val clock: MonotonicClock = SystemClock,
) : EventRecorder {
    private data class Allowance(val since: Instant, val passed: Int, val leftOut: Int)

    private val allowances = ConcurrentHashMap<String, Allowance>()

    override fun record(name: String, links: EventLinks, attributes: Map<String, String>): EventId {
        var before = 0
        val now = clock.now()
        val allowance = allowances.compute(name) { _, known ->
            when {
                known == null -> Allowance(now, passed = 1, leftOut = 0)

                now - known.since >= Window -> {
                    before = known.leftOut
                    Allowance(now, passed = 1, leftOut = 0)
                }

                known.passed < perSecond -> known.copy(passed = known.passed + 1)

                else -> known.copy(leftOut = known.leftOut + 1)
            }
        }
        if (allowance != null && allowance.leftOut > 0) return leftOut
        val more = if (before > 0) attributes + ("left_out_before" to "$before") else attributes
        return next.record(name, links, more)
    }

    private companion object {
        /** Lines of one kind a second; the items of three steps that begin at once. */
        const val PER_SECOND = 150
        val Window = 1.seconds

        /** Identity given out for an event that was left out. */
        val leftOut = EventId(InstanceId("none"), Incarnation("none"), sequence = -1)
    }
}
