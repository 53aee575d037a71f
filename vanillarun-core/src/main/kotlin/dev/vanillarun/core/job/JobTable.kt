package dev.vanillarun.core.job

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Something that happened to a job, as the store keeps it. */
public sealed interface JobRecord {
    /** Job concerned. */
    public val job: JobId

    /** The job was accepted. */
    public data class Submitted(
        /** The job. */
        public val content: Job,
    ) : JobRecord {
        override val job: JobId get() = content.id
    }

    /** An item ended. Several runs may have come to an end; the first record counts. */
    public data class Finished(
        override val job: JobId,
        /** Its result. */
        public val result: ItemResult,
    ) : JobRecord

    /** The submitter wants no further results. */
    public data class Ended(override val job: JobId) : JobRecord
}

/** A job as the records up to some position tell it. */
public data class JobView(
    /** Job; null while only results of it were read. */
    public val job: Job? = null,
    /** Results; the index is the position that callers see. */
    public val results: PersistentList<ItemResult> = persistentListOf(),
    /** Position of each item that is listed. */
    public val positions: PersistentMap<ItemId, Int> = persistentMapOf(),
    /** True once the submitter ended it. */
    public val ended: Boolean = false,
) {
    /** True while items remain that somebody waits for. */
    public val open: Boolean get() = job != null && !ended && results.size < job.items.size
}

/**
 * All jobs, folded from records in the order of the store.
 *
 * Positions of results follow from that order alone: every reader of the same records lists the same, also one that
 * reads records again or meets a repeated submission after results of its job.
 */
public data class JobTable(
    /** Jobs. */
    public val jobs: PersistentMap<JobId, JobView> = persistentMapOf(),
) {
    /** The table after [record]. */
    public fun apply(record: JobRecord): JobTable {
        val before = jobs[record.job] ?: JobView()
        val after = when (record) {
            is JobRecord.Submitted -> if (before.job == null) before.copy(job = record.content) else before
            is JobRecord.Finished -> before.listing(record.result)
            is JobRecord.Ended -> before.copy(ended = true)
        }
        return if (after === before) this else JobTable(jobs.put(record.job, after))
    }

    /** The table without [job]. */
    public fun without(job: JobId): JobTable = JobTable(jobs.remove(job))

    private fun JobView.listing(result: ItemResult): JobView {
        if (result.item in positions) return this
        return copy(results = results.add(result), positions = positions.put(result.item, results.size))
    }
}
