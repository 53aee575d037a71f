package dev.vanillarun.hosted.job

import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder

/** Records how long a slot takes from its grant until the first run of an item there; one event for each grant. */
internal class SlotTakeover(private val clock: MonotonicClock, private val events: EventRecorder) {
    private val pending = HashMap<Int, Instant>()
    private var owned = emptySet<Int>()

    /** Updates the slots that this instance owns. */
    fun granted(slots: Set<Int>) {
        val now = clock.now()
        (slots - owned).forEach { pending[it] = now }
        pending.keys.retainAll(slots)
        owned = slots
    }

    /** Notes that an item of [slot] was sent to an engine. */
    fun itemSent(slot: Int) {
        val since = pending.remove(slot) ?: return
        val elapsed = (clock.now() - since).inWholeMilliseconds
        events.record("slot.first_run", EventLinks(), mapOf("slot" to "$slot", "after_grant_ms" to "$elapsed"))
    }
}
