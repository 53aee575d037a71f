package dev.vanillarun.hosted.job

import dev.vanillarun.core.store.SlotGrant
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.time.SystemClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.core.zone.Region
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration.Companion.milliseconds

/**
 * Membership of this instance in the group that divides the slots of jobs among its members.
 *
 * The store assigns the slots. A grant does not fence: two instances may run the same job for a while, which wastes
 * work but changes no result, since the first record of an item counts.
 *
 * With a region, the group has only its instances as members. The group is joined only while [isNeeded].
 */
internal class SlotMembership(
    private val log: TopicLog,
    private val member: String,
    private val events: EventRecorder,
    private val clock: MonotonicClock = SystemClock,
    region: Region? = null,
    private val isNeeded: () -> Boolean = { true },
) {
    @Volatile
    private var grantedUntil: Instant? = null
    private val mutex = Mutex()
    private val group = if (region == null) GROUP else "$GROUP.$region"
    private var hasLeft = false
    private var hasJoined = false
    private val granted = MutableStateFlow(SlotGrant(generation = 0, emptySet()))

    /** The latest grant by the store; without slots until the first one and after [leave]. */
    val grant: StateFlow<SlotGrant> = granted.asStateFlow()

    /** True if the slot of [subject] is granted to this instance. */
    fun owns(subject: String): Boolean = slotOf(subject) in granted.value.slots

    /** True if [owns], and the store cannot have given the slot of [subject] to another instance since. */
    fun holds(subject: String): Boolean = owns(subject) && grantedUntil?.let { clock.now() < it } ?: false

    /** The slot of [subject]. */
    fun slotOf(subject: String): Int = subject.hashCode().mod(log.slotCount)

    /** Renews the membership until [leave] is called or the calling coroutine is cancelled. */
    suspend fun run() {
        while (mutex.withLock { join() }) delay(RENEWAL_INTERVAL)
    }

    private suspend fun join(): Boolean {
        if (hasLeft) return false
        val askedAt = clock.now()
        if (isNeeded()) {
            hasJoined = true
            log.join(group, member, granted.value.generation, TTL)?.let {
                applyGrant(it)
                grantedUntil = askedAt + TTL // the store counts from a later moment
            }
        } else if (granted.value.slots.isNotEmpty()) {
            granted.value = SlotGrant(granted.value.generation, emptySet())
        }
        return true
    }

    /** Gives the slots up for good; [run] returns afterwards. */
    suspend fun leave(): Unit = mutex.withLock {
        hasLeft = true
        val slots = granted.value.slots.sorted().joinToString(",")
        granted.value = SlotGrant(granted.value.generation, emptySet())
        if (hasJoined) {
            log.leave(group, member)
            events.record("slots.left", EventLinks(), mapOf("slots" to slots, "group" to group))
        }
    }

    private fun applyGrant(next: SlotGrant) {
        if (next.slots != granted.value.slots) {
            val attributes = mapOf(
                "slots" to next.slots.sorted().joinToString(","),
                "generation" to "${next.generation}",
                "group" to group,
            )
            events.record("slots.granted", EventLinks(), attributes)
        }
        granted.value = next
    }

    private companion object {
        const val GROUP = "runners"

        /** Time without renewal after which the store reassigns the slots of a member. */
        val TTL = 1500.milliseconds
        val RENEWAL_INTERVAL = 400.milliseconds
    }
}
