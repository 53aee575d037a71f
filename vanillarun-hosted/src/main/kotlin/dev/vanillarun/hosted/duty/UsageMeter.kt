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

/** Counts the requests that this instance sent to targets, and records them before the instance can take them along. */
internal class UsageMeter(
    private val appender: DurableAppender,
    private val window: Duration,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
) {
    private data class Cell(val window: Long, val customer: CustomerId)

    private val counts = HashMap<Cell, Long>()

    /** A request of [customer] has been running at a target [since] then. */
    fun count(customer: CustomerId, since: Instant) {
        val began = wallClock() - (clock.now() - since).inWholeMilliseconds
        val cell = Cell(began / window.inWholeMilliseconds, customer)
        synchronized(counts) { counts.merge(cell, 1, Long::plus) }
    }

    /** Records what was counted until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(INTERVAL)
            flush()
        }
    }

    /** Records what was counted until now. */
    suspend fun flush() {
        val taken = synchronized(counts) { counts.toMap().also { counts.clear() } }
        taken.entries.groupBy { it.key.window }.forEach { (window, cells) ->
            val counted = UsageRecord.Counted(window, cells.associate { it.key.customer to it.value })
            appender.append(usageRecord(counted))
        }
    }

    private companion object {
        /** What a killed instance may take along; a window of 5 s may be off by one in twenty. */
        val INTERVAL = 600.milliseconds
    }
}

/** The record that [usage] is kept as. */
internal fun usageRecord(usage: UsageRecord): TopicRecord =
    TopicRecord(key = "", Json.encodeToString(UsageRecord.serializer(), usage).encodeToByteArray())
