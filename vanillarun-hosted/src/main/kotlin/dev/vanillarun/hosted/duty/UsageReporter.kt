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
import dev.vanillarun.hosted.store.ReadPace
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

/** View of the usage topic; [reporting] is true while this instance may report usage and needs a fresh view. */
internal class UsageBoard(
    log: TopicLog,
    clock: MonotonicClock,
    private val events: EventRecorder,
    private val reporting: () -> Boolean,
) : TopicSink {
    /** Reads [Topic] into this view. */
    val follower = TopicFollower(log, Topic, this, clock, events) { if (reporting()) ReporterPace else StandbyPace }

    private val current = MutableStateFlow(WindowLedger())

    /** Counts and state of each usage window that is retained. */
    val ledger: StateFlow<WindowLedger> = current.asStateFlow()

    /** Discards windows before [window]; returns the number of the first one left, or null if there is none. */
    fun dropBefore(window: Long): Long? = current.updateAndGet { it.startingAt(window) }.windows.keys.minOrNull()

    override fun reset(records: List<StoredTopicRecord>) = accept(records)

    override fun accept(records: List<StoredTopicRecord>) {
        val decoded = records.mapNotNull(::decode)
        current.update { decoded.fold(it, WindowLedger::apply) }
    }

    private fun decode(record: StoredTopicRecord): UsageRecord? = try {
        record.value?.let { Json.decodeFromString(UsageRecord.serializer(), it.decodeToString()) }
    } catch (e: SerializationException) {
        events.record("usage.ignored", EventLinks(offset = record.offset), mapOf("reason" to e.message.orEmpty()))
        null
    }

    companion object {
        /** Topic of usage counts, closed windows and reports; its records expire. */
        val Topic = TopicName("usage", keyed = false)

        private val ReporterPace = ReadPace(longPoll = 400.milliseconds, interval = 200.milliseconds)

        /** All instances write counts, so each reads them in few calls until it reports itself. */
        private val StandbyPace = ReadPace(longPoll = 2.seconds, interval = 1.seconds)
    }
}

/**
 * Closes usage windows and reports them to the hosting platform; acts only while this instance holds the duty.
 *
 * The counts of a window are fixed in the store before they are reported, so a successor reports the same ones.
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
    /** Closes and reports windows until the calling coroutine is cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            duty.awaitLease()
            delay(RUN_INTERVAL)
            val isCurrent = board.follower.age(clock.now())?.let { it < MAX_VIEW_AGE } ?: false
            if (isCurrent && duty.mayAct(MAX_CALL_TIME)) runOnce()
        }
    }

    private suspend fun runOnce() {
        val length = window.inWholeMilliseconds
        val lastEnded = (wallClock() - SETTLE_TIME.inWholeMilliseconds) / length - 1
        val firstWindow = board.dropBefore(lastEnded - RETAINED_WINDOWS) ?: return
        for (number in firstWindow..lastEnded) {
            val usage = board.ledger.value.windows[number]
            if (usage?.reported == true) continue
            if (usage?.closed == null) close(number) else report(number)
        }
    }

    private suspend fun close(number: Long) {
        val counted = board.ledger.value.windows[number]?.counted.orEmpty()
        val closing = appender.offer(usageRecord(UsageRecord.Closed(number, counted)), MAX_CALL_TIME)
        val attributes = mapOf("window" to "$number", "result" to "$closing")
        events.record("usage.closed", EventLinks(duty = duty.name), attributes)
    }

    private suspend fun report(number: Long) {
        val figures = board.ledger.value.windows[number]?.closed ?: return
        val result = duty.perform(MAX_CALL_TIME) { term ->
            calls.reportUsage(number, figures, FencingToken(self, term))
        }
        val attributes = mapOf("window" to "$number", "requests" to "${figures.values.sum()}", "result" to "$result")
        events.record("usage.reported", EventLinks(duty = duty.name), attributes)
        if (result is PlatformResult.Answered) {
            withTimeoutOrNull(MAX_CALL_TIME) { appender.append(usageRecord(UsageRecord.Reported(number))) }
        }
    }

    private companion object {
        val RUN_INTERVAL = 300.milliseconds

        /** Time after the end of a window for all instances' counts to arrive; above two flush intervals. */
        val SETTLE_TIME = 2.seconds

        /** Maximum age of the view of the usage topic for closing a window. */
        val MAX_VIEW_AGE = 900.milliseconds

        /** Maximum duration of a report call; it has to end before the lease expires. */
        val MAX_CALL_TIME = 800.milliseconds

        /** Number of past windows that may still be reported; none of their records has expired in the store. */
        const val RETAINED_WINDOWS = 2
    }
}
