package dev.vanillarun.hosted.job

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlin.time.Duration.Companion.seconds

/**
 * Runs of items whose job has ended before them.
 *
 * A trainer ends its step as soon as enough groups are complete, and may submit the others again. So the runs of these
 * go on while their engines have nothing else to do, and the later job finds their texts; to cancel a run costs its
 * connection. Confined to the thread of the [JobRunner].
 */
internal class DetachedRuns(private val clock: MonotonicClock, private val isEnabled: () -> Boolean = { false }) {
    private class Detached(val run: ActiveRun, val since: Instant)

    /** In the order in which their jobs ended. */
    private val runs = LinkedHashMap<ItemId, Detached>()

    /** Engines of the runs with the time at which each began. */
    val engines: List<Pair<TargetId, Instant>>
        get() = runs.values.mapNotNull { detached -> detached.run.engine?.let { it to detached.run.since } }

    /** True if a run of [item] goes on. */
    operator fun contains(item: ItemId): Boolean = item in runs

    /** Lets [run] of [item] go on, or cancels it if it is not being generated. */
    fun detach(item: ItemId, run: ActiveRun) {
        val isGenerated = isEnabled() && run.engine != null && item !in runs
        if (isGenerated) runs[item] = Detached(run, clock.now()) else run.work.cancel()
    }

    /** Notes that the run of [item] has ended; false if it was none of these. */
    fun ended(item: ItemId): Boolean = runs.remove(item) != null

    /**
     * Cancels the runs that have become useless: those of items that no job in [open] has for too long, and those whose
     * [texts] are of weights that are too old for the job that has the item now.
     */
    fun update(open: List<JobView>, texts: (ItemId) -> ItemProgress?) {
        if (runs.isEmpty()) return
        val jobs = open.mapNotNull { it.job }.flatMap { job -> job.items.map { it.id to job } }.toMap()
        val now = clock.now()
        cancel { item, detached ->
            val job = jobs[item]
            if (job == null) {
                now - detached.since >= MAX_TIME
            } else {
                texts(item)?.transcript?.versions?.any { it < job.minVersion } ?: false
            }
        }
    }

    /** Cancels the run that was detached first and whose item [isNeeded] by no job, to free its slot. */
    fun freeSlot(isNeeded: (ItemId) -> Boolean) {
        val first = runs.keys.firstOrNull { !isNeeded(it) } ?: return
        cancel { item, _ -> item == first }
    }

    private fun cancel(condition: (ItemId, Detached) -> Boolean) {
        val useless = runs.filter { (item, detached) -> condition(item, detached) }
        useless.forEach { (item, detached) ->
            detached.run.work.cancel()
            runs.remove(item)
        }
    }

    private companion object {
        /** Time after which no later job is expected to have the item: two intervals between steps. */
        val MAX_TIME = 8.seconds
    }
}
