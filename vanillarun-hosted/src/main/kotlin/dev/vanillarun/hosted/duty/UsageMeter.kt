package dev.vanillarun.hosted.duty

import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.metering.UsageRecord
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.hosted.store.DurableAppender
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Counts the requests of this instance that ran on targets, and appends the counts to the usage topic often. */
internal class UsageMeter(
    private val appender: DurableAppender,
    private val window: Duration,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
) {
    private data class UsageKey(val window: Long, val customer: CustomerId)

    private val counts = HashMap<UsageKey, Long>()

    /** Counts a request of [customer] that has been running since [since], in the usage window of that time. */
    fun count(customer: CustomerId, since: Instant) {
        val startedAt = wallClock() - (clock.now() - since).inWholeMilliseconds
        val key = UsageKey(startedAt / window.inWholeMilliseconds, customer)
        synchronized(counts) { counts.merge(key, 1, Long::plus) }
    }

    /** Calls [flush] at intervals until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(FLUSH_INTERVAL)
            flush()
        }
    }

    /** Appends the counts since the last flush; returns once the store has confirmed them. */
    suspend fun flush() {
        val drained = synchronized(counts) { counts.toMap().also { counts.clear() } }
        drained.entries.groupBy { it.key.window }.forEach { (window, entries) ->
            val counted = UsageRecord.Counted(window, entries.associate { it.key.customer to it.value })
            appender.append(usageRecord(counted))
        }
    }

    private companion object {
        /** Bounds the counts lost when an instance is killed; a window of 5 s may be off by 5 percent. */
        val FLUSH_INTERVAL = 600.milliseconds
    }
}

/** Encodes [usage] as a record of the usage topic. */
internal fun usageRecord(usage: UsageRecord): TopicRecord =
    TopicRecord(key = "", Json.encodeToString(UsageRecord.serializer(), usage).encodeToByteArray())
