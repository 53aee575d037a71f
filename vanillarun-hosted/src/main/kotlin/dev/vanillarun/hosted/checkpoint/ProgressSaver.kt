package dev.vanillarun.hosted.checkpoint

import dev.vanillarun.core.checkpoint.RunnerBeat
import dev.vanillarun.core.checkpoint.RunnerId
import dev.vanillarun.core.checkpoint.RunnerWatch
import dev.vanillarun.core.checkpoint.TextPart
import dev.vanillarun.core.checkpoint.TextPartKey
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.store.TopicRecord
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.hosted.store.DurableAppender
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

/** An item that is being generated, with the text that was received so far. */
internal class GrowingText(val job: JobId, val item: ItemId, val transcript: Transcript)

/**
 * Saves the texts of items that take long, so that another instance can go on with them when this one ends.
 *
 * A text is saved once it is worth a second of an engine's time; items that are done sooner cost nothing. A beat goes
 * before each text, by which others tell whether this instance still runs its items. Confined to the runner's thread.
 */
internal class ProgressSaver(
    private val texts: DurableAppender,
    private val beats: DurableAppender,
    private val topics: ProgressTopics,
    private val self: RunnerId,
    private val isEnabled: () -> Boolean,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
) {
    private class Saved(val since: Instant) {
        var number = 0
        var last: Transcript? = null
        val keys = mutableListOf<String>()
    }

    private class Due(val saved: Saved, val transcript: Transcript, val record: TopicRecord)

    private val saved = HashMap<Pair<JobId, ItemId>, Saved>()
    private var beatNumber = 0L

    /** Number of events of unfinished items that were saved. */
    var savedEvents = 0L
        private set

    /** Saves what [growing] returns at intervals until the calling coroutine is cancelled. */
    suspend fun run(growing: () -> List<GrowingText>): Nothing {
        announceStart()
        while (true) {
            delay(RunnerWatch.BEAT_INTERVAL)
            save(growing())
        }
    }

    /** Tells others that an earlier process of this instance is gone, if it had items of its own. */
    private suspend fun announceStart() {
        var known = topics.beats()
        while (known == null) {
            delay(RunnerWatch.BEAT_INTERVAL)
            known = topics.beats()
        }
        if (self.instance in known) beat()
    }

    /**
     * Saves [text] of an earlier runner as one of this instance, before it goes on with the item: others then wait for
     * the end of this instance, too. False if the store did not confirm it.
     */
    suspend fun adopt(text: GrowingText): Boolean {
        val record = record(text, number = 0, first = 1)
        if (!texts.limits.allows(record) || !beat()) return false
        val known = Saved(clock.now() - MIN_WORTH).also { saved[text.job to text.item] = it }
        known.keys += record.key
        val isSaved = texts.offer(record, RunnerWatch.BEAT_INTERVAL) == TopicAppendResult.Done
        if (isSaved) known.last = text.transcript
        return isSaved
    }

    /** Saves what is due of [growing], all unfinished items that are being generated, and forgets all others. */
    private suspend fun save(growing: List<GrowingText>) {
        val known = growing.associateBy { it.job to it.item }
        val closed = saved.keys.filter { it !in known }.flatMap { saved.remove(it)?.keys.orEmpty() }
        if (closed.isNotEmpty()) texts.offer(closed.map { TopicRecord(it, value = null) }, RunnerWatch.SILENCE)
        val due = if (isEnabled()) growing.mapNotNull(::due) else emptyList()
        val isKnown = due.isNotEmpty() || saved.values.any { it.keys.isNotEmpty() }
        if (!isKnown || !beat()) return
        due.chunkedBySize().forEach { part ->
            part.forEach { it.saved.keys += it.record.key }
            if (texts.offer(part.map { it.record }, RunnerWatch.SILENCE) == TopicAppendResult.Done) {
                part.forEach { entry ->
                    savedEvents += entry.transcript.lastEventNumber - (entry.saved.last?.lastEventNumber ?: 0)
                    entry.saved.last = entry.transcript
                }
            }
        }
    }

    private suspend fun beat(): Boolean {
        val beat = RunnerBeat(self.startedAt, beatNumber++, wallClock())
        return beats.offer(ProgressTopics.record(self.instance, beat), RunnerWatch.SILENCE) == TopicAppendResult.Done
    }

    private fun due(growing: GrowingText): Due? {
        val now = clock.now()
        val known = saved.getOrPut(growing.job to growing.item) { Saved(now) }
        val text = growing.transcript
        if (now - known.since < MIN_WORTH || text.lastEventNumber == 0L) return null
        val before = known.last
        if (before != null && !text.extends(before)) {
            known.number++
            known.last = null
        }
        val first = (known.last?.lastEventNumber ?: 0) + 1
        if (first > text.lastEventNumber) return null
        val record = record(growing, known.number, first)
        return if (texts.limits.allows(record)) Due(known, text, record) else null
    }

    private fun record(growing: GrowingText, number: Int, first: Long): TopicRecord {
        val text = growing.transcript
        val events = text.eventData.drop(first.toInt() - 1)
        val part = TextPart(events, text.versions, text.currentVersion, text.earlierVersions)
        return TopicRecord("${TextPartKey(growing.job, growing.item, self, number, first)}", part.encode())
    }

    private fun Transcript.extends(before: Transcript): Boolean {
        val shared = before.eventData.size
        return eventData.size >= shared && (shared == 0 || eventData[shared - 1] == before.eventData[shared - 1])
    }

    private fun List<Due>.chunkedBySize(): List<List<Due>> {
        val chunks = mutableListOf<MutableList<Due>>()
        var bytes = MAX_APPEND_BYTES
        forEach { due ->
            val size = due.record.value?.size ?: 0
            if (bytes + size > MAX_APPEND_BYTES) {
                chunks += mutableListOf<Due>()
                bytes = 0
            }
            chunks.last() += due
            bytes += size
        }
        return chunks
    }

    private companion object {
        /** Time that an item is generated before its text is worth saving. */
        val MIN_WORTH = 1.seconds
        const val MAX_APPEND_BYTES = 500_000
    }
}
