package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobRecordCodec
import dev.vanillarun.core.job.JobTable
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.ReadPace
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Result of a lookup in a view of the store that may be stale. */
internal sealed interface LookupResult<out T> {
    /** The entry exists and is [value]. */
    data class Found<T>(val value: T) : LookupResult<T>

    /** The view is up to date and has no such entry. */
    data object Absent : LookupResult<Nothing>

    /** The view is too old to tell whether the entry exists. */
    data object Unknown : LookupResult<Nothing>
}

/** Part of the results of a job: [total] items in the job, [results], and the position [next] to continue from. */
internal class ResultPage(val total: Int, val next: Int, val results: List<ItemResult>)

/**
 * View of the jobs topic: all jobs of the fleet and their results. [pace] is how often the store is read.
 *
 * A new view has neither items nor texts, since they are nearly all bytes of the topic and no instance needs more than
 * a part of them. The items of a job are read when the first one is asked for, its texts when its results are first
 * listed; those that are written later come with the submission and the results.
 */
internal class JobBoard(
    log: TopicLog,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
    pace: () -> ReadPace = { RunnerPace },
) : TopicSink {
    private val current = MutableStateFlow(JobTable())

    @Volatile
    private var readAt: Instant? = null

    /** True while callers read results here. */
    val isRead: Boolean get() = readAt?.let { clock.now() - it < READER_ABSENCE } ?: false

    /** Follows the jobs topic and feeds its records to this view. */
    val follower = TopicFollower(log, Topic, this, clock, events, JobRecordCodec.CONTENT_END, pace)

    /** Reads items and texts that this view lacks; its loop has to run beside that of [follower]. */
    val content = ContentReader(log, Topic, clock, events, ::acceptContent)

    /** Current jobs; a new value after each batch of records. */
    val table: StateFlow<JobTable> = current.asStateFlow()

    override fun reset(records: List<StoredTopicRecord>) {
        val decoded = records.mapNotNull(::decode)
        current.update { before -> decoded.fold(JobTable(), JobTable::apply).withContentOf(before) }
    }

    override fun accept(records: List<StoredTopicRecord>) {
        val decoded = records.mapNotNull(::decode)
        current.update { before -> decoded.fold(before, JobTable::apply) }
    }

    /**
     * Adds the items and texts in [records], which are in the order of their keys. The results among them are left to
     * [follower], since their positions follow from the order of the topic.
     */
    private fun acceptContent(records: List<StoredTopicRecord>) =
        accept(records.filter { it.key < JobRecordCodec.CONTENT_END })

    private fun decode(stored: StoredTopicRecord): JobRecord? {
        val record = JobRecords.decode(stored.key, stored.value)
        if (record == null && stored.value != null) {
            events.record("job.record_ignored", EventLinks(offset = stored.offset), mapOf("key" to stored.key))
        }
        return record
    }

    /** Finds [id]; catches up with the store first if the local view does not have it. */
    suspend fun find(id: JobId): LookupResult<JobView> {
        localJob(id)?.let { return LookupResult.Found(it) }
        val caughtUp = follower.catchUp(LOOKUP_TIMEOUT)
        localJob(id)?.let { return LookupResult.Found(it) }
        return if (caughtUp) LookupResult.Absent else LookupResult.Unknown
    }

    /** Finds [id] with its items, which may take a read of the store. */
    suspend fun findWithItems(id: JobId): LookupResult<Job> {
        val found = when (val lookup = find(id)) {
            is LookupResult.Found -> lookup.value.job
            else -> return if (lookup == LookupResult.Absent) LookupResult.Absent else LookupResult.Unknown
        }
        if (found?.loaded == false) withTimeoutOrNull(CONTENT_TIMEOUT) { readItems(id) }
        return localJob(id)?.job?.takeIf { it.loaded }?.let { LookupResult.Found(it) } ?: LookupResult.Unknown
    }

    /** Reads the parts of the items of [id] that this view lacks, until a read fails or brings none. */
    private suspend fun readItems(id: JobId) {
        var previous = -1
        var next = missingPart(id)
        while (next != null && next > previous) {
            val wanted = next
            val succeeded = content.read(JobRecordCodec.beforeItems(id, wanted)) { missingPart(id) == wanted }
            previous = wanted
            next = if (succeeded) missingPart(id) else null
        }
    }

    private fun missingPart(id: JobId): Int? = localJob(id)?.takeIf { it.job?.loaded == false }?.nextPart

    /** Returns the results of [id] from position [after] on; waits up to [wait] if there is none yet. */
    suspend fun results(id: JobId, after: Int, wait: Duration): LookupResult<ResultPage> {
        if (!isRead) follower.refresh()
        readAt = clock.now()
        val found = when (val lookup = find(id)) {
            is LookupResult.Found -> lookup.value
            else -> return if (lookup == LookupResult.Absent) LookupResult.Absent else LookupResult.Unknown
        }
        val view = if (found.results.size > after) found else awaitResult(id, after, wait) ?: found
        if (view.results.size > after) return listed(id, view, after)
        if (!follower.confirm(MAX_CURRENT_AGE, LOOKUP_TIMEOUT)) return LookupResult.Unknown
        return listed(id, localJob(id) ?: view, after)
    }

    /** Returns the results of [view] from [after] on with their texts, which may take reads of the store. */
    private suspend fun listed(id: JobId, view: JobView, after: Int): LookupResult<ResultPage> {
        val page = page(view, after)
        if (page.isWhole) return LookupResult.Found(page)
        return withTimeoutOrNull(CONTENT_TIMEOUT) { listedWithTexts(id, page, after) } ?: LookupResult.Unknown
    }

    private suspend fun listedWithTexts(id: JobId, first: ResultPage, after: Int): LookupResult<ResultPage> {
        var page = first
        var previous: String? = null
        while (!page.isWhole) {
            val start = page.results.filter { it.textWriter != null }.minOf { JobRecordCodec.beforeTexts(id, it.item) }
            val succeeded = start != previous && content.read(start) { lacksText(id, start) }
            if (!succeeded) return LookupResult.Unknown
            previous = start
            page = page(localJob(id) ?: return LookupResult.Unknown, after)
        }
        return LookupResult.Found(page)
    }

    private fun lacksText(id: JobId, start: String) = localJob(id)?.results.orEmpty()
        .any { it.textWriter != null && JobRecordCodec.beforeTexts(id, it.item) == start }

    private val ResultPage.isWhole: Boolean get() = results.all { it.textWriter == null }

    private fun localJob(id: JobId): JobView? = current.value.jobs[id]?.takeIf { it.job != null }

    private suspend fun awaitResult(id: JobId, after: Int, wait: Duration): JobView? = withTimeoutOrNull(wait) {
        val changed = current.first { table ->
            val view = table.jobs[id]
            view == null || view.results.size > after || !view.open
        }
        changed.jobs[id]
    }

    private fun page(view: JobView, after: Int): ResultPage {
        val results = mutableListOf<ItemResult>()
        var bytes = 0
        for (at in after until view.results.size) {
            val result = view.results[at]
            bytes += result.text.length + RESULT_OVERHEAD
            if (results.isNotEmpty() && bytes > MAX_PAGE_BYTES) break
            results += result
        }
        val total = view.job?.itemCount ?: 0
        return ResultPage(total, after + results.size, results)
    }

    companion object {
        /** Keyed topic with the submissions and results of all jobs. */
        val Topic = TopicName("jobs", keyed = true)

        /** Pace of an instance that runs items: a result that is known late delays the next item. */
        val RunnerPace = ReadPace()

        /** Pace of an instance that only answers reads of jobs; callers read about twice per second. */
        val ReaderPace = ReadPace(interval = 150.milliseconds)

        /** Pace of an instance that neither runs items, decides by them nor answers reads; a read ends the pause. */
        val IdlePace = ReadPace(interval = 500.milliseconds)

        /** Time without a read after which no caller is taken to follow a job here: four of their intervals. */
        private val READER_ABSENCE = 2.seconds

        /** Timeout for catching up with the store when a job is not in the local view. */
        private val LOOKUP_TIMEOUT = 600.milliseconds

        /** Time after which a caller is told to come back; the reads that it asked for go on. */
        private val CONTENT_TIMEOUT = 2500.milliseconds

        /** Maximum age of a view that may report no further results; a result may take 1 s to become visible. */
        private val MAX_CURRENT_AGE = 900.milliseconds

        /** Bytes of results in one response; callers accept at most 1 MB. */
        private const val MAX_PAGE_BYTES = 800_000
        private const val RESULT_OVERHEAD = 300
    }
}
