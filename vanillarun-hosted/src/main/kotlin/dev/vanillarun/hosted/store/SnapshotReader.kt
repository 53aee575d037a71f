package dev.vanillarun.hosted.store

import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.store.StoredTopicRecord
import dev.vanillarun.core.store.TopicLog
import dev.vanillarun.core.store.TopicName
import dev.vanillarun.core.store.TopicReadResult
import dev.vanillarun.core.store.TopicSnapshotResult
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Progress of a [SnapshotReader] after one read of the store. */
internal sealed interface SnapshotStep {
    /** More pages follow. */
    data object Partial : SnapshotStep

    /** [page] has the newest record of each key. */
    class Complete(val page: TopicReadResult.Page) : SnapshotStep

    /** The page could not be read; the next read asks for it again. */
    data class Failed(val reason: String) : SnapshotStep
}

/**
 * Reads the newest record of each key of [topic] that sorts after [startAfter], one page at a time.
 *
 * When many instances start at once, a page waits in the store until the pages of the others are sent. A page that
 * failed is therefore the only one to be read again, and with more time: otherwise the store would send nothing but
 * repeats that are given up while they are on their way.
 */
internal class SnapshotReader(
    private val log: TopicLog,
    private val topic: TopicName,
    private val clock: MonotonicClock,
    startAfter: String? = null,
) {
    private val records = mutableListOf<StoredTopicRecord>()
    private var end: Offset? = null

    /** Key after which the next page begins; null for the first key of the topic. */
    var after: String? = startAfter
        private set

    /** Time at which the read of the first page was sent; the snapshot has the records before the end that it named. */
    var endReadAt: Instant? = null
        private set

    /** True once the last page has been read. */
    var isComplete = false
        private set

    private val silence = GrowingSilence(MIN_SILENCE, MAX_SILENCE)

    /** Reads the next page. */
    suspend fun next(): SnapshotStep {
        val sentAt = clock.now()
        return when (val read = log.newest(topic, after, silence.current)) {
            is TopicSnapshotResult.Page -> {
                silence.succeeded()
                if (endReadAt == null) endReadAt = sentAt
                accept(read)
            }

            is TopicSnapshotResult.Unavailable -> {
                silence.failed()
                SnapshotStep.Failed(read.reason)
            }
        }
    }

    private fun accept(page: TopicSnapshotResult.Page): SnapshotStep {
        val firstEnd = end ?: page.end.also { end = it }
        // Records that were appended after the first page are left to the reads that follow the topic.
        records += page.records.filter { it.offset < firstEnd }
        after = page.continueAfter
        isComplete = after == null
        if (!isComplete) return SnapshotStep.Partial
        return SnapshotStep.Complete(TopicReadResult.Page(records.sortedBy { it.offset }, firstEnd, firstEnd))
    }

    private companion object {
        /** Silence after which the first read fails: the store sends a page to a hundred instances meanwhile. */
        val MIN_SILENCE = 2.seconds

        /** Limit of the doubled silence; a connection may have gone silent for good. */
        val MAX_SILENCE = 8.seconds
    }
}
