package dev.vanillarun.hosted.job

import dev.vanillarun.core.store.SlotGrant
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.timeline.record
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration.Companion.milliseconds

/**
 * This instance's slots among those that share the running of jobs.
 *
 * The store deals the slots out. A grant is no fence: two instances may run the same job for a while, which costs work
 * but changes no result, since the first record of an item counts.
 */
internal class SlotMembership(
    private val log: TopicLog,
    private val member: String,
    private val events: EventRecorder,
) {
    private val mutex = Mutex()
    private var hasLeft = false
    private val granted = MutableStateFlow(SlotGrant(generation = 0, emptySet()))

    /** What the store granted last. */
    val grant: StateFlow<SlotGrant> = granted.asStateFlow()

    /** True if jobs of [subject] are run here. */
    fun owns(subject: String): Boolean = subject.hashCode().mod(log.slotCount) in granted.value.slots

    /** Stays a member until it [leave]s or the calling coroutine is cancelled. */
    suspend fun run() {
        while (mutex.withLock { join() }) delay(RENEWAL_INTERVAL)
    }

    private suspend fun join(): Boolean {
        if (!hasLeft) log.join(GROUP, member, granted.value.generation, TTL)?.let(::applyGrant)
        return !hasLeft
    }

    /** Hands the slots over and does not come back. */
    suspend fun leave(): Unit = mutex.withLock {
        hasLeft = true
        granted.value = SlotGrant(granted.value.generation, emptySet())
        log.leave(GROUP, member)
        events.record("slots.left")
    }

    private fun applyGrant(next: SlotGrant) {
        if (next.slots != granted.value.slots) {
            val attributes = mapOf("slots" to next.slots.sorted().joinToString(","), "generation" to "${next.generation}")
            events.record("slots.granted", EventLinks(), attributes)
        }
        granted.value = next
    }

    private companion object {
        const val GROUP = "runners"

        /** Time after which the store deals the slots of a silent member to others. */
        val TTL = 1500.milliseconds
        val RENEWAL_INTERVAL = 400.milliseconds
    }
}
