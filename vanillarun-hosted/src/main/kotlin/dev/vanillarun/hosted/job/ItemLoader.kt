package dev.vanillarun.hosted.job

import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobView
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** Reads the items of jobs submitted before this instance started; confined to the thread of the [JobRunner]. */
internal class ItemLoader(private val board: JobBoard) {
    private val loading = HashSet<JobId>()

    /** Starts reading the items of [view] in [scope], unless that is under way; the view of [board] then has them. */
    fun load(scope: CoroutineScope, view: JobView) {
        val id = view.job?.id ?: return
        if (!loading.add(id)) return
        scope.launch {
            val read = board.findWithItems(id)
            if (read !is LookupResult.Found) delay(RETRY_INTERVAL)
            loading.remove(id)
        }
    }

    /** Forgets the reads of a scope that has ended. */
    fun reset() = loading.clear()

    private companion object {
        /** Delay before the items of a job are read again after a failed read. */
        val RETRY_INTERVAL = 200.milliseconds
    }
}
