package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.job.GroupProgress
import dev.vanillarun.core.job.GroupState
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobItem
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.job.RunTime
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.job.WaitingItem
import dev.vanillarun.core.job.groupRanks
import dev.vanillarun.core.job.groupStates
import dev.vanillarun.core.reward.RewardGroup
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Key of an item in one job; the same item may return in a later job. */
internal data class RunKey(val job: JobId, val item: ItemId)

/** Work on an item: a run at [engine], or the scoring and recording of its result if that is null. */
internal class ActiveRun(
    val work: kotlinx.coroutines.Job,
    val engine: TargetId?,
    val task: SampleTask,
    val since: Instant,
)

/** A [result] that the store confirmed by [at], in the record of its [attempt], 0 for the first. */
internal class RecordedResult(val task: SampleTask, val result: ItemResult, val attempt: Int, val at: Instant)

/** Runs, conclusions and progress of the items of this instance; confined to the thread of the [JobRunner]. */
internal class ItemTable(
    private val clock: MonotonicClock,
    private val wallClock: () -> Long = System::currentTimeMillis,
    /** Runs of items whose job has ended. */
    val detached: DetachedRuns = DetachedRuns(clock),
    /** Progress by item. */
    val progress: ProgressTable = ProgressTable(),
) {
    /** Work in progress. */
    val running = HashMap<RunKey, ActiveRun>()

    /** Results that the store confirmed but that are not listed yet. */
    val concluded = HashMap<RunKey, RecordedResult>()
    private val groups = HashMap<JobId, Map<String, Int>>()
    private val rewardGroups = HashMap<JobId, HashMap<String, RewardGroup>>()

    /** Time that items take at least, learned from runs. */
    var runTime = RunTime()
        private set

    /** Number of texts that were dropped since they overflowed. */
    @Volatile
    var droppedTexts = 0L
        private set

    /** Records that a run of [item], which had the progress [before], ended with [end] after [elapsed]. */
    fun runEnded(item: JobItem, before: ItemProgress, end: RunOutcome, elapsed: Duration) {
        val isWholeRun = end is RunOutcome.Complete && before.transcript.lastEventNumber == 0L
        if (isWholeRun) runTime = runTime.observed(item, elapsed)
        if (end is RunOutcome.Overflowed) droppedTexts++
        progress[item.id] = before.afterRun(end, clock.now())
    }

    /** Keeps [transcript], the text of [item] so far; false if there is no memory for it. */
    fun received(item: ItemId, transcript: Transcript): Boolean {
        progress.setText(item, transcript)
        return progress.mayGrow(item)
    }

    /** Group of the item of [task], whose job has [view]. */
    fun rewardGroup(task: SampleTask, view: JobView?): RewardGroup =
        rewardGroups.getOrPut(task.job.id) { HashMap() }.getOrPut(task.item.groupKey) {
            val left = (task.job.dueAt(task.route) - wallClock()).milliseconds
            val members = task.job.items.filter { it.groupKey == task.item.groupKey }
            RewardGroup(clock.now() + left, members.count { view?.positions?.containsKey(it.id) != true })
        }

    /** Records that the store confirmed [recorded]. */
    fun conclude(recorded: RecordedResult) {
        val task = recorded.task
        val key = RunKey(task.job.id, task.item.id)
        concluded[key] = recorded
        running.remove(key)
        rewardGroups[task.job.id]?.get(task.item.groupKey)?.let { it.openItems-- }
    }

    /** Start times of the runs at each engine; engines without any are absent. */
    fun runs(): Map<TargetId, List<Instant>> {
        val known = running.values.mapNotNull { run -> run.engine?.let { it to run.since } } + detached.engines
        return known.groupBy({ it.first }, { it.second })
    }

    /** True if [item] has been at no engine for so long that an engine should be tried before its backoff ends. */
    fun isOverdue(item: ItemId): Boolean = progress[item]?.idleSince?.let { clock.now() - it >= MAX_IDLE_TIME } ?: false

    /**
     * Cancels runs whose item has a result, and detaches those whose job has ended without one; [views] are the open
     * jobs, and [isListed] tells of all jobs. Runs survive the loss of their slot: a new owner starts from scratch.
     */
    fun cancelClosed(views: List<JobView>, isListed: (RunKey) -> Boolean = { true }) {
        val open = views.associateBy { it.job?.id }
        running.filterKeys { key -> open[key.job]?.positions?.containsKey(key.item) != false }.forEach { (key, run) ->
            running.remove(key)
            if (isListed(key)) run.work.cancel() else detached.detach(key.item, run)
        }
        detached.update(views) { progress[it] }
        concluded.keys.removeAll { key -> open[key.job]?.positions?.containsKey(key.item) != false }
        groups.keys.retainAll { it in open }
        rewardGroups.keys.retainAll { it in open }
        evictClosed(views)
    }

    /**
     * Evicts the oldest progress of items without an open job, beyond [MAX_CLOSED_ITEMS], and more of it while the
     * texts are crowded; after that also progress of items that are listed.
     */
    private fun evictClosed(open: List<JobView>) {
        if (!progress.isCrowded && progress.size <= MAX_CLOSED_ITEMS + open.sumOf { it.job?.items?.size ?: 0 }) return
        val kept = open.flatMapTo(HashSet()) { view -> view.job?.items.orEmpty().map { it.id } }
        val closed = progress.keys.filter { it !in kept }
        val excess = (closed.size - MAX_CLOSED_ITEMS).coerceAtLeast(0)
        closed.take(excess).forEach(progress::remove)
        if (!progress.isCrowded) return
        val needed = open.flatMapTo(running.keys.mapTo(HashSet()) { it.item }) { view ->
            view.job?.items.orEmpty().map { it.id }.filter { it !in view.positions }
        }
        (closed.drop(excess) + open.flatMap { it.positions.keys }).filter { it !in needed && it !in detached }
            .asSequence().takeWhile { progress.isCrowded }.forEach(progress::remove)
    }

    /**
     * Removes and returns the results that a view of the jobs as of [viewAt] should list and does not. The store may
     * lose records that it has confirmed, when its history is rewound.
     */
    fun takeLost(viewAt: Instant): List<RecordedResult> {
        val lost = concluded.filterValues { viewAt - it.at >= VISIBILITY_DELAY }
        lost.keys.forEach(concluded::remove)
        return lost.values.toList()
    }

    /** Items of [view], a job on [route], that may be sent to an engine now. */
    fun waiting(view: JobView, route: CatalogRoute): List<WaitingItem> {
        val job = view.job ?: return emptyList()
        val items = dueItems(view, job)
        if (items.isEmpty()) return emptyList()
        val ranks = groups.getOrPut(job.id) { groupRanks(job, returnedGroups(job)) }
        val dueAt = job.dueAt(route)
        val states = groupStates(progressOf(view, job, ranks), job.desiredGroups, wallClock(), dueAt)
        return items.map { item ->
            WaitingItem(
                job = job.id,
                item = item,
                dueAt = dueAt,
                priority = route.priority,
                begun = hasEvents(item),
                groupRank = ranks[item.group] ?: 0,
                group = states[item.groupKey] ?: GroupState.NEW,
            )
        }
    }

    /** Items that may be sent now; none that has yet to receive its first event while there is no memory for texts. */
    private fun dueItems(view: JobView, job: Job): List<JobItem> {
        val now = clock.now()
        return job.items.filter { item ->
            val due = progress[item.id]?.notBefore?.let { now >= it } ?: true
            due && isWaiting(view, RunKey(job.id, item.id)) && (!progress.isFull || hasEvents(item))
        }
    }

    private fun progressOf(view: JobView, job: Job, ranks: Map<String, Int>): List<GroupProgress> =
        job.items.groupBy { it.groupKey }.map { (group, members) ->
            val waiting = members.filter { isWaiting(view, RunKey(job.id, it.id)) && !hasEvents(it) }
            GroupProgress(
                group = group,
                rank = ranks[members.first().group] ?: 0,
                isBegun = waiting.size < members.size,
                left = waiting.maxOfOrNull(runTime::shortest) ?: Duration.ZERO,
            )
        }

    private fun hasEvents(item: JobItem): Boolean = hasEvents(item.id)

    /** True if events of [item] were received. */
    fun hasEvents(item: ItemId): Boolean = progress[item]?.transcript?.let { it.lastEventNumber > 0 } ?: false

    private fun isWaiting(view: JobView, key: RunKey): Boolean =
        key.item !in view.positions && key !in running && key !in concluded && key.item !in detached

    private fun returnedGroups(job: Job): Set<String> =
        job.items.filter { it.id in progress }.mapTo(HashSet()) { it.group }

    /** Why [key] is not due, for events; null if it waits for an engine only. */
    fun reasonNotDue(key: RunKey): String? {
        val backoff = progress[key.item]?.notBefore?.let { it - clock.now() } ?: Duration.ZERO
        return when {
            key in running -> "being scored or recorded"
            key.item in detached -> "still generated for a job that has ended"
            key in concluded -> "recorded but not listed yet"
            progress.isFull && !hasEvents(key.item) -> "no memory for further texts"
            backoff > Duration.ZERO -> "backed off for ${backoff.inWholeMilliseconds} ms"
            else -> null
        }
    }

    private companion object {
        /** Time at no engine after which an item is overdue, a fraction of the time that the longest backoff takes. */
        val MAX_IDLE_TIME = 1.seconds

        /** Time after which a confirmed record is visible to all readers, with a margin of half. */
        val VISIBILITY_DELAY = 1500.milliseconds

        /** Items whose progress is kept for later jobs: about a minute of work of the whole fleet. */
        const val MAX_CLOSED_ITEMS = 8192
    }
}

/** Key of the group of an item in its job; an item without a group is one of its own. */
private val JobItem.groupKey: String get() = group.ifEmpty { "\u0000${id.value}" }

/** Time at which the results of a job on [route] are due, in Unix milliseconds. */
internal fun Job.dueAt(route: CatalogRoute): Long =
    submittedAt + (route.jobObjective ?: route.timeout).inWholeMilliseconds
