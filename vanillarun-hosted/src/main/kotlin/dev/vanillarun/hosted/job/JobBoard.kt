package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobTable
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.TopicFollower
import dev.vanillarun.hosted.store.TopicSink
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Outcome of looking something up in a view that may lag. */
internal sealed interface LookupResult<out T> {
    /** It is there. */
    data class Found<T>(val value: T) : LookupResult<T>

    /** It is known not to be there. */
    data object Absent : LookupResult<Nothing>

    /** The view is too old to tell. */
    data object Unknown : LookupResult<Nothing>
}

/** Results of a job from one position on. */
internal class ResultPage(val total: Int, val next: Int, val results: List<ItemResult>)

/** All jobs of the fleet as the store tells them. */
internal class JobBoard(log: TopicLog, private val clock: MonotonicClock, private val events: EventRecorder) :
    TopicSink {
    private val current = MutableStateFlow(JobTable())

    /** Reads the topic. */
    val follower = TopicFollower(log, Topic, this, clock, events)

    /** Jobs. */
    val table: StateFlow<JobTable> = current.asStateFlow()

    override fun reset(records: List<StoredTopicRecord>) {
        current.value = records.fold(JobTable(), ::fold)
    }

    override fun accept(records: List<StoredTopicRecord>) {
        current.value = records.fold(current.value, ::fold)
    }

    private fun fold(table: JobTable, stored: StoredTopicRecord): JobTable {
        val record = JobRecords.decode(stored.key, stored.value)
        if (record == null && stored.value != null) {
            events.record("job.record_ignored", EventLinks(offset = stored.offset), mapOf("key" to stored.key))
        }
        return if (record == null) table else table.apply(record)
    }

    /** Finds [id], asking the store if it is not known here. */
    suspend fun find(id: JobId): LookupResult<JobView> {
        localJob(id)?.let { return LookupResult.Found(it) }
        val current = follower.catchUp(LOOKUP_TIMEOUT)
        localJob(id)?.let { return LookupResult.Found(it) }
        return if (current) LookupResult.Absent else LookupResult.Unknown
    }

    /** Results of [id] from [after] on; waits up to [wait] for one. */
    suspend fun results(id: JobId, after: Int, wait: Duration): LookupResult<ResultPage> {
        val found = when (val lookup = find(id)) {
            is LookupResult.Found -> lookup.value
            else -> return if (lookup == LookupResult.Absent) LookupResult.Absent else LookupResult.Unknown
        }
        val view = if (found.results.size > after) found else awaitResult(id, after, wait) ?: found
        val page = page(view, after)
        if (page.results.isEmpty() && !isCurrent()) return LookupResult.Unknown
        return LookupResult.Found(page)
    }

    private fun localJob(id: JobId): JobView? = current.value.jobs[id]?.takeIf { it.job != null }

    private fun isCurrent(): Boolean = follower.age(clock.now())?.let { it < MAX_CURRENT_AGE } ?: false

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
        val total = view.job?.items?.size ?: 0
        return ResultPage(total, after + results.size, results)
    }

    companion object {
        /** Topic of all jobs. */
        val Topic = TopicName("jobs", keyed = true)

        /** Time for asking the store about a job that is not known here. */
        private val LOOKUP_TIMEOUT = 600.milliseconds

        /** Age up to which a view tells that there is no further result; a result may settle for 1 s. */
        private val MAX_CURRENT_AGE = 900.milliseconds

        /** Bytes of results in one answer, below the 1 MB that callers take. */
        private const val MAX_PAGE_BYTES = 800_000
        private const val RESULT_OVERHEAD = 300
    }
}
