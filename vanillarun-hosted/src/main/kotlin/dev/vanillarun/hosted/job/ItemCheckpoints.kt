package dev.vanillarun.hosted.job

import dev.vanillarun.core.checkpoint.SavedText
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.job.WaitingItem
import dev.vanillarun.hosted.checkpoint.Checkpoints
import dev.vanillarun.hosted.checkpoint.GrowingText
import kotlinx.coroutines.CoroutineScope

/**
 * Saves the texts of [items] and goes on with those of earlier runners; does nothing without [checkpoints]. Confined to
 * the thread of the [JobRunner].
 */
internal class ItemCheckpoints(private val checkpoints: Checkpoints?, private val items: ItemTable) {
    /** Looks in [scope] for saved texts of [owned] jobs, and forgets all that are not [open]. */
    fun update(scope: CoroutineScope, open: List<JobView>, owned: List<JobView>, onChange: () -> Unit) {
        val recovery = checkpoints?.recovery ?: return
        recovery.retain(open.mapNotNullTo(HashSet()) { it.job?.id })
        owned.mapNotNull { it.job }.forEach { recovery.owned(scope, it, onChange) }
    }

    /** True if [waiting] has to wait, since a saved text of it may be usable soon. */
    fun holds(waiting: WaitingItem): Boolean =
        !items.hasEvents(waiting.item.id) && checkpoints?.recovery?.holds(waiting.job, waiting.item.id) ?: false

    /** Returns a saved text that the item of [task] may go on after, unless it has one of its own. */
    fun take(task: SampleTask): SavedText? {
        if (items.hasEvents(task.item.id)) return null
        val saved = checkpoints?.recovery?.take(task.job.id, task.item.id)
        return saved?.takeIf { it.transcript.lastEventNumber > 0 }
    }

    /** Makes [saved] the text of the item of [task], if the store confirms that this instance goes on with it. */
    suspend fun adopt(task: SampleTask, saved: SavedText, onChange: () -> Unit) {
        val text = GrowingText(task.job.id, task.item.id, saved.transcript)
        if (checkpoints?.saver?.adopt(text) == true) {
            items.progress.setText(task.item.id, saved.transcript)
            checkpoints.recovery.adopted(task.job.id, task.item.id, saved)
        }
        items.running.remove(RunKey(task.job.id, task.item.id))
        onChange()
    }

    /** Saves the texts of the items in progress until cancelled; [owned] returns the jobs of this instance. */
    suspend fun saveTexts(owned: () -> List<JobView>) {
        checkpoints?.saver?.run { growing(owned()) }
    }

    /** The texts of all items in progress, complete ones included until they are listed. */
    private fun growing(owned: List<JobView>): List<GrowingText> {
        val keys = owned.flatMapTo(items.running.keys.toHashSet()) { view ->
            val job = view.job ?: return@flatMapTo emptyList()
            job.items.filter { it.id !in view.positions }.map { RunKey(job.id, it.id) }
        }
        return keys.filter { items.hasEvents(it.item) }
            .map { GrowingText(it.job, it.item, items.progress.getValue(it.item).transcript) }
    }
}
