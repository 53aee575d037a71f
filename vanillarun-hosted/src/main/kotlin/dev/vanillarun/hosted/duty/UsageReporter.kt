package dev.vanillarun.hosted.duty

import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.metering.UsageRecord
import dev.vanillarun.core.metering.WindowLedger
import dev.vanillarun.core.platform.PlatformResult
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.flow.updateAndGet
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Follows the usage topic. */
internal class UsageBoard(log: TopicLog, clock: MonotonicClock, private val events: EventRecorder) : TopicSink {
    /** Reads the topic. */
    val follower = TopicFollower(log, Topic, this, clock, events, pace = 200.milliseconds)

    private val current = MutableStateFlow(WindowLedger())

    /** Windows. */
    val ledger: StateFlow<WindowLedger> = current.asStateFlow()

    /** Forgets windows before [window]; returns the first that is left. */
    fun dropBefore(window: Long): Long? = current.updateAndGet { it.from(window) }.windows.keys.minOrNull()

    override fun reset(records: List<StoredTopicRecord>) = accept(records)

    override fun accept(records: List<StoredTopicRecord>) {
        val read = records.mapNotNull(::decode)
        current.update { read.fold(it, WindowLedger::apply) }
    }

    private fun decode(record: StoredTopicRecord): UsageRecord? = try {
        record.value?.let { Json.decodeFromString(UsageRecord.serializer(), it.decodeToString()) }
    } catch (e: SerializationException) {
        events.record("usage.ignored", EventLinks(offset = record.offset), mapOf("reason" to e.message.orEmpty()))
        null
    }

    companion object {
        /** Topic of usage; its records expire. */
        val Topic = TopicName("usage", keyed = false)
    }
}

/**
 * Closes usage windows and reports them; acts only while this instance holds the duty.
 *
 * The figures of a window are fixed in the store before they are reported, so a successor reports the same.
 */
internal class UsageReporter(
    private val duty: ControlDuty,
    private val calls: HostingCalls,
    private val board: UsageBoard,
    private val appender: DurableAppender,
    private val self: InstanceId,
    private val window: Duration,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
    private val events: EventRecorder,
) {
    /** Acts until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            delay(TICK)
            val current = board.follower.age(clock.now())?.let { it < CURRENT } ?: false
            if (current && duty.mayAct(CALL_TIME)) act()
        }
    }

    private suspend fun act() {
        val length = window.inWholeMilliseconds
        val over = (wallClock() - SETTLE.inWholeMilliseconds) / length - 1
        val first = board.dropBefore(over - KEPT_WINDOWS) ?: return
        for (number in first..over) {
            val known = board.ledger.value.windows[number]
            if (known?.reported == true) continue
            if (known?.closed == null) close(number) else report(number)
        }
    }

    private suspend fun close(number: Long) {
        val counted = board.ledger.value.windows[number]?.counted.orEmpty()
        withTimeoutOrNull(CALL_TIME) { appender.append(usageRecord(UsageRecord.Closed(number, counted))) }
        events.record("usage.closed", EventLinks(duty = duty.name), mapOf("window" to "$number"))
    }

    private suspend fun report(number: Long) {
        val figures = board.ledger.value.windows[number]?.closed ?: return
        val result = duty.perform(CALL_TIME) { term -> calls.reportUsage(number, figures, FencingToken(self, term)) }
        val what = mapOf("window" to "$number", "requests" to "${figures.values.sum()}", "result" to "$result")
        events.record("usage.reported", EventLinks(duty = duty.name), what)
        if (result is PlatformResult.Answered) {
            withTimeoutOrNull(CALL_TIME) { appender.append(usageRecord(UsageRecord.Reported(number))) }
        }
    }

    private companion object {
        val TICK = 300.milliseconds

        /** Time after the end of a window in which the instances' counts arrive; two intervals of the meter. */
        val SETTLE = 2.seconds

        /** Age up to which a view of the usage topic is complete enough to close a window. */
        val CURRENT = 900.milliseconds

        /** Longest call of a report; has to fit into what is left of the lease. */
        val CALL_TIME = 800.milliseconds

        /** Windows whose reports are still in time; all their records are younger than what the store keeps. */
        const val KEPT_WINDOWS = 2
    }
}
