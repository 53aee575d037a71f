package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.ItemState
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.store.TopicAppendResult
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.store.DurableAppender

/** Records results of items in the store; confined to the thread of the [JobRunner]. */
internal class ResultRecorder(
    private val appender: DurableAppender,
    private val writer: String,
    private val items: ItemTable,
    private val clock: MonotonicClock,
    private val events: EventRecorder,
) {
    /** Records that the item of [task] ended in [state], with [transcript] and [score] if it is completed. */
    suspend fun record(task: SampleTask, state: ItemState, transcript: Transcript, score: String? = null) {
        val completed = state == ItemState.COMPLETED
        val result = ItemResult(
            item = task.item.id,
            state = state,
            text = if (completed) transcript.text else "",
            versions = if (completed) transcript.versions.sorted() else emptyList(),
            score = score,
        )
        append(task, result, writer)
    }

    /**
     * Records a result again that the store has lost. Each attempt has a writer of its own: if the first record appears
     * after all, a second one under its key would move the result to another position when the topic is compacted.
     */
    suspend fun recordAgain(lost: RecordedResult) {
        val attempt = lost.attempt + 1
        recordEvent("item.record_lost", lost.task, "attempt" to "$attempt")
        append(lost.task, lost.result, "$writer.$attempt", attempt)
    }

    private suspend fun append(task: SampleTask, result: ItemResult, writer: String, attempt: Int = 0) {
        val appended = appender.append(JobRecords.encode(JobRecord.Finished(task.job.id, result), writer))
        if (appended is TopicAppendResult.Rejected && result.text.isNotEmpty()) {
            recordEvent("item.result_rejected", task, "reason" to appended.reason)
            return append(task, ItemResult(result.item, ItemState.ABORTED), writer, attempt)
        }
        val state = result.state.name.lowercase()
        recordEvent("item.recorded", task, "state" to state, "versions" to "${result.versions}")
        items.conclude(RecordedResult(task, result, attempt, clock.now()))
    }

    private fun recordEvent(name: String, task: SampleTask, vararg attributes: Pair<String, String>) {
        events.record(name, task.links, attributes.toMap())
    }
}
