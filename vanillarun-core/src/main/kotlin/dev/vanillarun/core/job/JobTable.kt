package dev.vanillarun.core.job

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap

/** Event in the life of a job, as it is stored. */
public sealed interface JobRecord {
    /** Job that the record belongs to. */
    public val job: JobId

    /** The job was accepted. Only the first submission of a job identity has an effect. */
    public data class Submitted(
        /** The submitted job. */
        public val content: Job,
    ) : JobRecord {
        override val job: JobId get() = content.id
    }

    /**
     * The job with a part of its items, stored in the same append as the [Submitted] record without them. The items of
     * all parts in the order of [part] are those of the submission.
     */
    public data class Items(
        /** The submitted job with the items of this part. */
        public val content: Job,
        /** Number of the part, from 0. */
        public val part: Int = 0,
    ) : JobRecord {
        override val job: JobId get() = content.id
    }

    /** An item reached a final state. Several runs of the same item may each write a record; the first one counts. */
    public data class Finished(
        override val job: JobId,
        /** Result of the item. */
        public val result: ItemResult,
    ) : JobRecord

    /**
     * Text of an item, stored in the same append as the [Finished] record that refers to it. Texts are by far the
     * largest part of a job, and apart from the results a reader can leave them out until they are asked for.
     */
    public data class Text(
        override val job: JobId,
        /** Which text of the job this is. */
        public val key: TextKey,
        /** Data of all events in order, separated by line feeds. */
        public val text: String,
    ) : JobRecord

    /** The submitter ended the job and needs no further results. */
    public data class Ended(override val job: JobId) : JobRecord
}

/** Key of a text within its job: several runs of the same item may each write one. */
public data class TextKey(
    /** Item that the text belongs to. */
    public val item: ItemId,
    /** Writer of the text, unique to a run of a process. */
    public val writer: String,
)

/** State of a job after the records that were read so far. */
public data class JobView(
    /** The submitted job; null if results were read before the submission. */
    public val job: Job? = null,
    /** Results in log order; the index is the position that the API exposes to callers. */
    public val results: PersistentList<ItemResult> = persistentListOf(),
    /** Index in [results] of each item that has a result. */
    public val positions: PersistentMap<ItemId, Int> = persistentMapOf(),
    /** True once the submitter ended the job. */
    public val ended: Boolean = false,
    /** Items by number of their part, until all parts and the submission have been read. */
    public val parts: PersistentMap<Int, List<JobItem>> = persistentMapOf(),
    /** Texts of items that have no result yet. */
    public val texts: PersistentMap<TextKey, String> = persistentMapOf(),
) {
    /** True while the job was submitted, not ended, and items without a result remain. */
    public val open: Boolean get() = job != null && !ended && results.size < job.itemCount

    /** Number of the first part of the items that has not been read. */
    public val nextPart: Int get() = generateSequence(0) { it + 1 }.first { it !in parts }
}

/**
 * State of all jobs, folded from the records in log order.
 *
 * The positions of results depend on the log order only. All readers of the same records get the same lists, even if a
 * reader replays records or reads a repeated submission after results of its job.
 */
public data class JobTable(
    /** State of each job that has at least one record. */
    public val jobs: PersistentMap<JobId, JobView> = persistentMapOf(),
) {
    /** Returns the table after [record]. Applying a record again has no effect. */
    public fun apply(record: JobRecord): JobTable {
        val before = jobs[record.job] ?: JobView()
        val after = when (record) {
            is JobRecord.Submitted -> before.withSubmission(record.content)
            is JobRecord.Items -> before.withItems(record.part, record.content.items)
            is JobRecord.Finished -> before.withResult(record.result)
            is JobRecord.Text -> before.withText(record.key, record.text)
            is JobRecord.Ended -> before.copy(ended = true)
        }
        return if (after === before) this else JobTable(jobs.put(record.job, after))
    }

    /** Returns the table with [job] removed. */
    public fun without(job: JobId): JobTable = JobTable(jobs.remove(job))

    /** Returns the table with the items and texts that [other] has for the same jobs and results. */
    public fun withContentOf(other: JobTable): JobTable {
        val merged = jobs.mapValues { (id, view) -> other.jobs[id]?.let { view.withContentOf(it) } ?: view }
        return JobTable(merged.toPersistentMap())
    }

    private fun JobView.withContentOf(other: JobView): JobView {
        val merged = results.mapIndexed { at, result ->
            val known = other.results.getOrNull(at)?.takeIf { it.item == result.item && it.textWriter == null }
            if (result.textWriter == null || known == null) result else known
        }
        val knownItems = other.job?.takeIf { it.loaded }?.items
        val withResults = copy(results = merged.toPersistentList())
        return if (knownItems == null || job?.loaded != false) withResults else withResults.joined(knownItems)
    }

    private fun JobView.withSubmission(submitted: Job): JobView = when {
        job != null -> this
        submitted.loaded -> copy(job = submitted, parts = persistentMapOf())
        else -> copy(job = submitted).let { it.joined(it.partsInOrder()) }
    }

    private fun JobView.withItems(part: Int, items: List<JobItem>): JobView {
        if (job?.loaded == true || part in parts) return this
        return copy(parts = parts.put(part, items)).let { it.joined(it.partsInOrder()) }
    }

    private fun JobView.partsInOrder(): List<JobItem> = (0 until nextPart).flatMap { parts.getValue(it) }

    /** Returns the view with [items] if they are all items of the job. */
    private fun JobView.joined(items: List<JobItem>): JobView =
        if (items.size != job?.itemCount) this else copy(job = job.copy(items = items), parts = persistentMapOf())

    private fun JobView.withResult(result: ItemResult): JobView {
        if (result.item in positions) return this
        val text = result.textWriter?.let { texts[TextKey(result.item, it)] }
        val remaining = texts.keys.filter { it.item == result.item }.fold(texts) { left, key -> left.remove(key) }
        return copy(
            results = results.add(if (text == null) result else result.withText(text)),
            positions = positions.put(result.item, results.size),
            texts = remaining,
        )
    }

    private fun JobView.withText(key: TextKey, text: String): JobView {
        val position = positions[key.item] ?: return copy(texts = texts.put(key, text))
        val result = results[position]
        if (result.textWriter != key.writer) return this
        return copy(results = results.set(position, result.withText(text)))
    }

    private fun ItemResult.withText(text: String) = copy(text = text, textWriter = null)
}
