package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.ItemOrder
import dev.vanillarun.core.job.ItemResult
import dev.vanillarun.core.job.ItemState
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobId
import dev.vanillarun.core.job.JobRecord
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.job.WaitingItem
import dev.vanillarun.core.job.groupRanks
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.catalog.CatalogSource
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.store.DurableAppender
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetTracker
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Views of jobs, catalog, engines and slots that a [JobRunner] reads. */
internal class RunnerInputs(
    val board: JobBoard,
    val catalog: CatalogSource,
    val replicas: ReplicaSource,
    val placement: PlacementBoard,
    val slots: SlotMembership,
    val tracker: TargetTracker,
    val departures: DepartureBoard,
)

/**
 * Runs the items of the jobs whose slot belongs to this instance.
 *
 * All jobs of a model share a slot, so one instance sees all work for the engines that serve the model and the number
 * of runs at each. All state is confined to one thread at a time.
 */
internal class JobRunner(
    private val inputs: RunnerInputs,
    private val samples: SampleRunner,
    private val rewards: RewardCaller,
    private val appender: DurableAppender,
    private val writer: String,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
    private val events: EventRecorder,
) {
    private data class RunKey(val job: JobId, val item: ItemId)

    private enum class Conclusion { SCORE, ABORT }

    private class ActiveRun(
        val work: kotlinx.coroutines.Job,
        val engine: TargetId?,
        val task: SampleTask,
        val since: Instant,
    )

    private val engines = EngineSelector(inputs.replicas, inputs.tracker, inputs.placement, inputs.departures)
    private val confined: CoroutineDispatcher = Dispatchers.Default.limitedParallelism(1)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val running = HashMap<RunKey, ActiveRun>()
    private val progress = HashMap<ItemId, ItemProgress>()
    private val concluded = HashSet<RunKey>()
    private val groups = HashMap<JobId, Map<String, Int>>()

    /** Runs until the calling coroutine is cancelled. */
    suspend fun run(): Nothing = withContext(confined) {
        running.clear() // left by a run that failed
        launch { inputs.board.table.collect { wake.trySend(Unit) } }
        launch { inputs.replicas.replicas.collect { wake.trySend(Unit) } }
        launch { inputs.placement.loadCount.collect { wake.trySend(Unit) } }
        launch { inputs.slots.grant.collect { wake.trySend(Unit) } }
        while (true) {
            schedule(this)
            withTimeoutOrNull(if (isBusy) POLL_INTERVAL else IDLE_POLL_INTERVAL) { wake.receive() }
        }
        @Suppress("UNREACHABLE_CODE")
        error("unreachable: the runner ends only by cancellation")
    }

    /** Number of items that are running, being scored or being recorded; updated in each scheduling round. */
    @Volatile
    var inProgress: Int = 0
        private set

    /** True while this instance runs items or is responsible for an open job; updated in each scheduling round. */
    @Volatile
    var isBusy: Boolean = false
        private set

    @Volatile
    private var accepting = true

    /** Starts no further items; those in progress run to completion. */
    fun stopAccepting() {
        accepting = false
    }

    private fun schedule(scope: CoroutineScope) {
        val open = inputs.board.table.value.jobs.values.filter { it.open }
        cancelClosed(open)
        val mine = if (accepting) open.filter(::isMine) else emptyList()
        dispatchWaiting(scope, mine)
        if (accepting) moveFromSlowEngines()
        inProgress = running.size
        isBusy = mine.isNotEmpty() || running.isNotEmpty()
    }

    private fun dispatchWaiting(scope: CoroutineScope, mine: List<JobView>) {
        val waiting = mine.flatMap(::waiting).sortedWith(ItemOrder)
        waiting.forEach { item -> dispatch(scope, mine.first { it.job?.id == item.job }, item) }
    }

    private fun isMine(view: JobView): Boolean {
        val job = view.job ?: return false
        return inputs.slots.owns(job.subject) && route(job) != null
    }

    private fun route(job: Job): CatalogRoute? = inputs.catalog.catalog.value?.route(job.host, job.path)

    /** Cancels runs whose item has a result. Runs survive the loss of their slot: a new owner starts from scratch. */
    private fun cancelClosed(views: List<JobView>) {
        val open = views.associateBy { it.job?.id }
        running.filterKeys { key -> open[key.job]?.positions?.containsKey(key.item) != false }.forEach { (key, run) ->
            run.work.cancel()
            running.remove(key)
        }
        concluded.removeAll { key -> open[key.job]?.positions?.containsKey(key.item) != false }
        groups.keys.retainAll { it in open }
        if (progress.size > MAX_TRACKED_ITEMS) progress.clear()
    }

    private fun waiting(view: JobView): List<WaitingItem> {
        val job = view.job ?: return emptyList()
        val route = route(job) ?: return emptyList()
        val ranks = groups.getOrPut(job.id) { groupRanks(job, returnedGroups(job)) }
        val objective = route.jobObjective ?: route.timeout
        val now = clock.now()
        return job.items.filter { item ->
            val key = RunKey(job.id, item.id)
            val due = progress[item.id]?.notBefore?.let { now >= it } ?: true
            due && item.id !in view.positions && key !in running && key !in concluded
        }.map { item ->
            WaitingItem(
                job = job.id,
                item = item,
                dueAt = job.submittedAt + objective.inWholeMilliseconds,
                priority = route.priority,
                begun = progress[item.id]?.transcript?.let { it.lastEventNumber > 0 } ?: false,
                groupRank = ranks[item.group] ?: 0,
            )
        }
    }

    private fun returnedGroups(job: Job): Set<String> =
        job.items.filter { it.id in progress }.mapTo(HashSet()) { it.group }

    private fun dispatch(scope: CoroutineScope, view: JobView, waiting: WaitingItem) {
        val job = view.job ?: return
        val route = route(job) ?: return
        val task = SampleTask(job, waiting.item, route)
        val key = RunKey(job.id, waiting.item.id)
        val known = progress.getOrPut(waiting.item.id) { ItemProgress() }.validFor(task)
        progress[waiting.item.id] = known
        val expired = route.jobRetention?.let { wallClock() > job.submittedAt + it.inWholeMilliseconds } ?: false
        val end = if (expired) Conclusion.ABORT else Conclusion.SCORE.takeIf { known.complete }
        if (end != null) {
            val work = scope.launch { guarded(task) { conclude(task, end) } }
            running[key] = ActiveRun(work, engine = null, task, clock.now())
            return
        }
        val engine = engines.choose(task, runs()) ?: return
        val work = scope.launch { guarded(task) { attempt(task, engine) } }
        running[key] = ActiveRun(work, engine.id, task, clock.now())
    }

    /** Runs [work] on [task]; an unexpected error ends this run only, and the item is tried again after a delay. */
    @Suppress("TooGenericExceptionCaught") // Any defect that one item brings to light.
    private suspend fun guarded(task: SampleTask, work: suspend () -> Unit) = try {
        work()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        recordEvent("item.run_failed", task, "reason" to "$e")
        progress[task.item.id] =
            (progress[task.item.id] ?: ItemProgress()).copy(notBefore = clock.now() + FAILURE_BACKOFF)
        running.remove(RunKey(task.job.id, task.item.id))
    }

    /** Moves runs to much faster engines, since an engine may be slow for seconds. */
    private fun moveFromSlowEngines() {
        val now = clock.now()
        running.filterValues { now - it.since >= MIN_RUN_TIME_BEFORE_MOVE }.forEach { (key, run) ->
            val known = progress[key.item]?.takeIf { it.moves < MAX_MOVES }
            val destination = run.engine?.let { engines.findFaster(run.task, it, runs()) }
            if (known != null && destination != null) move(key, run, known, destination)
        }
    }

    private fun move(key: RunKey, run: ActiveRun, known: ItemProgress, destination: TargetId) {
        run.work.cancel()
        running.remove(key)
        progress[key.item] = known.moved(clock.now())
        val from = run.engine?.value.orEmpty()
        recordEvent(
            "item.moved",
            run.task,
            "from" to from,
            "to" to destination.value,
            "after_event" to "${known.transcript.lastEventNumber}",
        )
    }

    /** Number of runs at each engine; engines without any are absent. */
    private fun runs(): Map<TargetId, Int> = running.values.mapNotNull { it.engine }.groupingBy { it }.eachCount()

    private suspend fun attempt(task: SampleTask, engine: Replica) {
        val key = RunKey(task.job.id, task.item.id)
        val before = progress.getValue(task.item.id)
        val begun = clock.now()
        recordEvent(
            "item.sent",
            task,
            "target" to engine.id.value,
            "after_event" to "${before.transcript.lastEventNumber}",
        )
        val end = samples.run(task, engine, before.transcript) { extended ->
            progress.computeIfPresent(task.item.id) { _, known -> known.copy(transcript = extended) }
        }
        val elapsed = clock.now() - begun
        recordEvent(
            "item.run_ended",
            task,
            "target" to engine.id.value,
            "end" to end.describe(),
            "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
        )
        progress[task.item.id] = before.afterRun(end, clock.now())
        wake.trySend(Unit)
        val conclusion = when (end) {
            is RunOutcome.Complete -> Conclusion.SCORE
            RunOutcome.Unprocessable -> Conclusion.ABORT
            RunOutcome.Failed -> Conclusion.ABORT.takeIf { before.failures + 1 >= task.route.maxAttempts }
            else -> null
        }
        if (conclusion == null) {
            running.remove(key)
        } else {
            running[key] = ActiveRun(currentCoroutineContext().job, engine = null, task, begun)
            conclude(task, conclusion)
        }
    }

    /** Scores the complete text of [task] if it has a reward call and records the result, or records it as aborted. */
    private suspend fun conclude(task: SampleTask, conclusion: Conclusion) {
        val reward = task.item.reward
        val scored = if (conclusion == Conclusion.SCORE && reward != null) rewards.score(reward) else null
        when {
            conclusion == Conclusion.ABORT || scored == RewardResult.AttemptsExhausted -> record(
                task,
                ItemState.ABORTED,
            )

            else -> record(task, ItemState.COMPLETED, (scored as? RewardResult.Scored)?.signature)
        }
        val key = RunKey(task.job.id, task.item.id)
        concluded += key
        running.remove(key)
    }

    private suspend fun record(task: SampleTask, state: ItemState, score: String? = null) {
        val transcript = progress[task.item.id]?.transcript ?: Transcript()
        val completed = state == ItemState.COMPLETED
        val result = ItemResult(
            item = task.item.id,
            state = state,
            text = if (completed) transcript.text else "",
            versions = if (completed) transcript.versions.sorted() else emptyList(),
            score = score,
        )
        appender.append(JobRecords.encode(JobRecord.Finished(task.job.id, result), writer))
        recordEvent("item.recorded", task, "state" to state.name.lowercase(), "versions" to "${result.versions}")
    }

    private fun recordEvent(name: String, task: SampleTask, vararg attributes: Pair<String, String>) {
        val links = EventLinks(request = task.job.id.value, sample = task.item.id.value)
        events.record(name, links, attributes.toMap())
    }

    private companion object {
        /** Maximum time between scheduling rounds; a backoff or a retention ends without a notification. */
        val POLL_INTERVAL = 100.milliseconds

        /** As [POLL_INTERVAL], while no open job belongs to this instance: only a new catalog has no notification. */
        val IDLE_POLL_INTERVAL = 1.seconds

        /** Delay after an unexpected error of a run, which most probably comes again. */
        val FAILURE_BACKOFF = 2.seconds

        /** Minimum run time before the speed of a run is comparable. */
        val MIN_RUN_TIME_BEFORE_MOVE = 700.milliseconds

        /** Maximum moves of an item; each move processes its prompt again. */
        const val MAX_MOVES = 1

        /** Items whose progress is kept for later jobs: about a minute of work of the whole fleet. */
        const val MAX_TRACKED_ITEMS = 8192
    }
}

/** Key from which the slot of a job is derived: the model, or the job id if it has none. */
internal val Job.subject: String get() = model.ifEmpty { id.value }
