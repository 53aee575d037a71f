package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.CatalogRoute
import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.job.ItemId
import dev.vanillarun.core.job.ItemState
import dev.vanillarun.core.job.Job
import dev.vanillarun.core.job.JobItem
import dev.vanillarun.core.job.JobView
import dev.vanillarun.core.job.Transcript
import dev.vanillarun.core.job.WaitingItem
import dev.vanillarun.core.job.assignmentOrder
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.core.timeline.EventRecorder
import dev.vanillarun.hosted.recordIfPossible
import dev.vanillarun.hosted.store.DurableAppender
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
    appender: DurableAppender,
    writer: String,
    private val clock: MonotonicClock,
    private val wallClock: () -> Long,
    private val events: EventRecorder,
    dispatcher: CoroutineDispatcher = Dispatchers.Default,
) {
    private enum class Conclusion { SCORE, ABORT }

    private val engines =
        EngineSelector(inputs.replicas, inputs.tracker, inputs.placement, inputs.departures, clock, inputs.gates)
    private val evacuated = EvacuatedRuns(inputs.catalog.evacuations, inputs.replicas, engines, clock)
    private val unplaced = UnplacedItems(clock, events)
    private val takeover = SlotTakeover(clock, events)
    private val confined: CoroutineDispatcher = dispatcher.limitedParallelism(1)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val items = ItemTable(clock, wallClock, DetachedRuns(clock, inputs.keepsRuns))
    private val running = items.running
    private val progress = items.progress
    private val loader = ItemLoader(inputs.board)
    private val checkpoints = ItemCheckpoints(inputs.checkpoints, items)
    private val recorder = ResultRecorder(appender, writer, items, clock, events)
    private var assigned = 0L

    /** Runs until the calling coroutine is cancelled. */
    suspend fun run(): Nothing = withContext(confined) {
        running.clear() // left by a run that failed
        loader.reset()
        launch { inputs.board.table.collect { wake.trySend(Unit) } }
        launch { inputs.replicas.replicas.collect { wake.trySend(Unit) } }
        launch { inputs.placement.loadCount.collect { wake.trySend(Unit) } }
        launch { inputs.slots.grant.collect { wake.trySend(Unit) } }
        launch { checkpoints.saveTexts { inputs.board.table.value.jobs.values.filter { it.open && isOwned(it) } } }
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

    /** Estimate of the bytes of heap that the texts of items take, until they are recorded or not needed any more. */
    val textBytes: Long get() = progress.textBytes

    /** Number of texts that were dropped since they overflowed. */
    val droppedTexts: Long get() = items.droppedTexts

    @Volatile
    private var accepting = true

    /** Starts no further items; those in progress run to completion. */
    fun stopAccepting() {
        accepting = false
    }

    private fun schedule(scope: CoroutineScope) {
        val viewAt = inputs.board.follower.state.value.caughtUpAt // before the table, which may be newer
        val open = inputs.board.table.value.jobs.values.filter { it.open }
        items.cancelClosed(open) { key ->
            inputs.board.table.value.jobs[key.job]?.positions?.containsKey(key.item) ?: true
        }
        if (viewAt != null) recordLost(scope, viewAt)
        takeover.granted(inputs.slots.grant.value.slots)
        val mine = if (accepting) open.filter(::isMine) else emptyList()
        val (loaded, others) = mine.partition { it.job?.loaded == true }
        others.forEach { loader.load(scope, it) }
        checkpoints.update(scope, open, loaded) { wake.trySend(Unit) }
        dispatchWaiting(scope, loaded)
        if (accepting) moveRuns()
        inProgress = running.size
        isBusy = mine.isNotEmpty() || running.isNotEmpty()
        unplaced.report { unplacedItems(open.filter(::isOwned)) }
    }

    private fun unplacedItems(owned: List<JobView>): List<UnplacedItems.Entry> = owned.flatMap { view ->
        val job = view.job ?: return@flatMap emptyList()
        val jobAge = (wallClock() - job.submittedAt).coerceAtLeast(0).milliseconds
        job.items.filter { it.id !in view.positions && running[RunKey(job.id, it.id)]?.engine == null }.map { item ->
            val idleSince = progress[item.id]?.idleSince ?: (clock.now() - jobAge)
            UnplacedItems.Entry(RunKey(job.id, item.id), idleSince) { reasonUnplaced(job, item) }
        }
    }

    private fun reasonUnplaced(job: Job, item: JobItem): String {
        val route = route(job) ?: return "no route"
        items.reasonNotDue(RunKey(job.id, item.id))?.let { return it }
        if (!accepting) return "this instance is stopping"
        val task = SampleTask(job, item, route, inputs.catalog.regionsOf(job.customer))
        return when (val choice = engines.choose(task, items.runs(), items.isOverdue(item.id))) {
            is EngineChoice.Chosen -> "not dispatched yet"
            is EngineChoice.None -> choice.description
        }
    }

    private fun dispatchWaiting(scope: CoroutineScope, mine: List<JobView>) {
        val waiting = mine.flatMap { view -> view.job?.let(::route)?.let { items.waiting(view, it) }.orEmpty() }
        assignmentOrder(waiting.filterNot(checkpoints::holds), assigned).forEach { item ->
            dispatch(scope, mine.first { it.job?.id == item.job }, item)
        }
    }

    private fun isOpen(item: ItemId): Boolean = inputs.board.table.value.jobs.values.any { view ->
        view.open && view.job?.items.orEmpty().any { it.id == item }
    }

    private fun isMine(view: JobView): Boolean = isOwned(view) && view.job?.let(::route) != null

    private fun isOwned(view: JobView): Boolean = view.job?.let(inputs.ownership::owns) ?: false

    private fun route(job: Job): CatalogRoute? = inputs.catalog.catalog.value?.route(job.host, job.path)

    private fun dispatch(scope: CoroutineScope, view: JobView, waiting: WaitingItem) {
        val job = view.job ?: return
        val route = route(job) ?: return
        val task = SampleTask(job, waiting.item, route, inputs.catalog.regionsOf(job.customer))
        val key = RunKey(job.id, waiting.item.id)
        val before = progress[waiting.item.id] ?: ItemProgress()
        val known = before.copy(idleSince = before.idleSince ?: clock.now()).validFor(task)
        progress[waiting.item.id] = known
        checkpoints.take(task)?.let { saved ->
            val work = scope.launch { guarded(task) { checkpoints.adopt(task, saved) { wake.trySend(Unit) } } }
            running[key] = ActiveRun(work, engine = null, task, clock.now())
            return
        }
        val end = if (isExpired(job, route)) Conclusion.ABORT else Conclusion.SCORE.takeIf { known.complete }
        if (end != null) {
            val work = scope.launch { guarded(task) { conclude(task, end, known.transcript) } }
            running[key] = ActiveRun(work, engine = null, task, clock.now())
            return
        }
        val choice = engines.choose(task, items.runs(), items.isOverdue(waiting.item.id))
        if (choice == EngineChoice.None.FULL) items.detached.freeSlot(::isOpen)
        val engine = (choice as? EngineChoice.Chosen)?.engine ?: return
        engines.dispatched(task, engine)
        val work = scope.launch { guarded(task) { attempt(task, engine) } }
        assigned++
        takeover.itemSent(inputs.slots.slotOf(job.subject))
        running[key] = ActiveRun(work, engine.id, task, clock.now())
    }

    /** True if [job] is too old by any clock: another instance may have dated its submission. */
    private fun isExpired(job: Job, route: CatalogRoute): Boolean = route.jobRetention?.let {
        wallClock() > job.submittedAt + (it + MAX_CLOCK_DIFFERENCE).inWholeMilliseconds
    } ?: false

    /** Runs [work] on [task]; an unexpected error ends this run only, and the item is tried again after a delay. */
    @Suppress("TooGenericExceptionCaught") // Any defect that one item brings to light.
    private suspend fun guarded(task: SampleTask, work: suspend () -> Unit) = try {
        work()
    } catch (e: CancellationException) {
        throw e
    } catch (e: Throwable) {
        inputs.heap?.failed("item", e)
        progress[task.item.id] =
            (progress[task.item.id] ?: ItemProgress()).copy(notBefore = clock.now() + FAILURE_BACKOFF)
        running.remove(RunKey(task.job.id, task.item.id))
        items.detached.ended(task.item.id)
        events.recordIfPossible("item.run_failed", task.links) { mapOf("reason" to "$e") }
    }

    /** Moves runs out of evacuated data centres and away from engines that are slow. */
    private fun moveRuns() {
        evacuated.moves(running, items.runs()).forEach {
            move(it.key, it.run, progress[it.key.item] ?: ItemProgress(), it.destination)
        }
        val now = clock.now()
        running.filterValues { now - it.since >= MIN_RUN_TIME_BEFORE_MOVE }.forEach { (key, run) ->
            val known = progress[key.item]?.takeIf { it.moves < MAX_MOVES }
            val destination = run.engine?.let { engines.findFaster(run.task, it, items.runs()) }
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
        val end = samples.run(task, engine, before.transcript) { items.received(task.item.id, it) }
        val elapsed = clock.now() - begun
        recordEvent(
            "item.run_ended",
            task,
            "target" to engine.id.value,
            "end" to end.describe(),
            "elapsed_ms" to "${elapsed.inWholeMilliseconds}",
        )
        items.runEnded(task.item, before, end, elapsed)
        wake.trySend(Unit)
        if (items.detached.ended(task.item.id)) return
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
            conclude(task, conclusion, (end as? RunOutcome.Complete)?.transcript ?: before.transcript)
        }
    }

    /** Scores the complete text of [task] if it has a reward call and records the result, or records it as aborted. */
    private suspend fun conclude(task: SampleTask, conclusion: Conclusion, transcript: Transcript) {
        val reward = task.item.reward
        val group = items.rewardGroup(task, inputs.board.table.value.jobs[task.job.id])
        val isScored = conclusion == Conclusion.SCORE && reward != null
        val scored = if (isScored) rewards.score(reward, group, task.customerRegions) else null
        when {
            conclusion == Conclusion.ABORT || scored == RewardResult.AttemptsExhausted ->
                recorder.record(task, ItemState.ABORTED, transcript)

            else ->
                recorder.record(task, ItemState.COMPLETED, transcript, (scored as? RewardResult.Scored)?.signature)
        }
    }

    /** Records results again that the store has lost. */
    private fun recordLost(scope: CoroutineScope, viewAt: Instant) {
        items.takeLost(viewAt).forEach { lost ->
            val work = scope.launch { guarded(lost.task) { recorder.recordAgain(lost) } }
            running[RunKey(lost.task.job.id, lost.task.item.id)] =
                ActiveRun(work, engine = null, lost.task, clock.now())
        }
    }

    private fun recordEvent(name: String, task: SampleTask, vararg attributes: Pair<String, String>) {
        events.record(name, task.links, attributes.toMap())
    }

    private companion object {
        /** Most by which the time of day of two instances differs. */
        val MAX_CLOCK_DIFFERENCE = 2.seconds

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
    }
}

/** Key from which the slot of a job is derived: the model, or the job id if it has none. */
internal val Job.subject: String get() = model.ifEmpty { id.value }
