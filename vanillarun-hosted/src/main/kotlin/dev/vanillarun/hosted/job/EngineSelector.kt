package dev.vanillarun.hosted.job

import dev.vanillarun.core.catalog.Replica
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.routing.CompletionParameters
import dev.vanillarun.core.routing.ExpectedCompletionSelector
import dev.vanillarun.core.routing.RelocationPolicy
import dev.vanillarun.core.routing.SustainedSlowness
import dev.vanillarun.core.routing.TargetView
import dev.vanillarun.core.time.Instant
import dev.vanillarun.core.time.MonotonicClock
import dev.vanillarun.hosted.catalog.ReplicaSource
import dev.vanillarun.hosted.duty.PlacementBoard
import dev.vanillarun.hosted.target.DepartureBoard
import dev.vanillarun.hosted.target.TargetGates
import dev.vanillarun.hosted.target.TargetTracker
import dev.vanillarun.hosted.target.view
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Result of [EngineSelector.choose]. */
internal sealed interface EngineChoice {
    /** The item should run at [engine]. */
    data class Chosen(val engine: Replica) : EngineChoice

    /** No engine can take the item now; [description] is for events. */
    enum class None(val description: String) : EngineChoice {
        NOT_LISTED("no engine is listed"),
        NO_WEIGHTS("no engine has the weights"),
        WITHHELD("all engines with the weights are evacuated, cold or outside the allowed regions"),
        BACKED_OFF("all engines with the weights are backed off or leaving"),
        FULL("all engines are full"),
    }
}

/**
 * Selects engines for samples. An engine with failures gets one new run at a time until it responds again, and none
 * during its backoff unless an item is overdue.
 */
internal class EngineSelector(
    private val replicas: ReplicaSource,
    private val tracker: TargetTracker,
    private val placement: PlacementBoard,
    private val departures: DepartureBoard,
    private val clock: MonotonicClock,
    private val gates: TargetGates = TargetGates(),
) {
    private val selector = ExpectedCompletionSelector(local = null, Random.Default, CompletionParameters.ForSamples)
    private val prompts = PromptHolders(tracker)
    private val slowness = SustainedSlowness()
    private val relocation = RelocationPolicy(minSpeedup = MIN_SPEEDUP_TO_MOVE)

    /**
     * Returns the engine for [task], or why there is none; [running] has the start times of the runs at each engine. If
     * the item is [overdue] while most slots are free, an engine may be chosen before the end of its backoff, since it
     * may have recovered.
     */
    fun choose(task: SampleTask, running: Map<TargetId, List<Instant>>, overdue: Boolean = false): EngineChoice {
        val listed = listed(task)
        val capable = listed.filter { isCapable(it, task) }
        val open = capable.filter { gates.refusal(it, task.gated) == null }
        val usable = open.filter(::isUsable)
        val chosen =
            select(usable, task, running)?.let { id -> usable.first { it.id == id } }
                ?: engineToProbe(open, task, running).takeIf { overdue && isMostlyFree(open, running) }
        return when {
            chosen != null -> EngineChoice.Chosen(chosen)
            listed.isEmpty() -> EngineChoice.None.NOT_LISTED
            capable.isEmpty() -> EngineChoice.None.NO_WEIGHTS
            open.isEmpty() -> EngineChoice.None.WITHHELD
            usable.isEmpty() -> EngineChoice.None.BACKED_OFF
            else -> EngineChoice.None.FULL
        }
    }

    /** Records that the item of [task] is sent to [engine], which then holds the prompt of its group. */
    fun dispatched(task: SampleTask, engine: Replica): Unit = prompts.recordRun(task, engine)

    /** Returns an engine that is fast enough to move a run of [task] there from [engine], or null if there is none. */
    fun findFaster(task: SampleTask, engine: TargetId, running: Map<TargetId, List<Instant>>): TargetId? {
        val usable = listed(task).filter { isCapable(it, task) && isUsable(it) }
        val current = usable.find { it.id == engine } ?: return null
        val engines = usable.filter { gates.refusal(it, task.gated) == null }
        val placed = engines.filter { isPlaced(it, task) && isPermitted(it, task, running) }
            .map { view(it, task, running) }
        val profile = prompts.profile(task, engines)
        val now = clock.now()
        val slow = view(current, task, running)
        val hasMoments = tracker.of(current).load?.slowdown != null
        val isSettled = !hasMoments || slowness.observe(engine, isSlow(slow, usable, task, running), now)
        return if (isSettled) relocation.fasterTarget(slow, placed, selector, profile, now) else null
    }

    /** True if a run at [engine] would go on so much faster at one of [others] that it should move to a slot there. */
    private fun isSlow(
        engine: TargetView,
        others: List<Replica>,
        task: SampleTask,
        running: Map<TargetId, List<Instant>>,
    ): Boolean {
        val speeds = others.map { view(it, task, running).stats.secondsPerToken }.filter { it > 0.0 }
        return speeds.isNotEmpty() && engine.stats.secondsPerToken > speeds.min() * MIN_SPEEDUP_TO_MOVE
    }

    /** Engines that the model is not placed on are used only while the placed ones are full. */
    private fun select(engines: List<Replica>, task: SampleTask, running: Map<TargetId, List<Instant>>): TargetId? {
        val views = engines.map { view(it, task, running) }
        val permitted = engines.filter { isPermitted(it, task, running) }.mapTo(HashSet()) { it.id }
        val (free, full) = views.partition { it.id in permitted && it.stats.inFlight < it.concurrency }
        val placed = engines.filter { isPlaced(it, task) }.mapTo(HashSet()) { it.id }
        val others = if (free.any { it.id in placed }) views.filter { it.id !in placed } else emptyList()
        val excluded = (full + others).mapTo(HashSet()) { it.id }
        return selector.select(views, prompts.profile(task, engines), excluded, clock.now())
    }

    private fun isPlaced(engine: Replica, task: SampleTask): Boolean {
        val placed = placement.placement.value.enginesOf(task.job.model)
        return placed.isEmpty() || engine.id in placed
    }

    private fun listed(task: SampleTask): List<Replica> = task.route.services.flatMap { replicas.of(it.service) }

    private fun isCapable(engine: Replica, task: SampleTask): Boolean {
        val model = task.job.model
        return model.isEmpty() || tracker.weights(engine, model) >= task.job.minVersion
    }

    private fun isUsable(engine: Replica): Boolean = tracker.usable(engine) && !departures.isDeparting(engine)

    private fun isMostlyFree(engines: List<Replica>, running: Map<TargetId, List<Instant>>): Boolean =
        engines.sumOf { running[it.id].orEmpty().size } * 2 < engines.sumOf { it.slots }

    /** The engine with a free slot that failed first, if that was long enough ago to try it again. */
    private fun engineToProbe(
        engines: List<Replica>,
        task: SampleTask,
        running: Map<TargetId, List<Instant>>,
    ): Replica? {
        val now = clock.now()
        return engines.filterNot(departures::isDeparting)
            .filter { engine -> tracker.of(engine).failedAt?.let { now - it >= PROBE_INTERVAL } ?: false }
            .filter { engine -> isPermitted(engine, task, running) }
            .filter { engine -> view(engine, task, running).let { it.stats.inFlight < it.concurrency } }
            .minByOrNull { engine -> tracker.of(engine).failedAt ?: now }
    }

    private fun view(engine: Replica, task: SampleTask, running: Map<TargetId, List<Instant>>): TargetView {
        val runs = running[engine.id].orEmpty()
        val slots = if (tracker.of(engine).failures > 0) slotsAfterFailure(engine, runs) else engine.slots
        return tracker.view(engine, inFlight = runs.size, work = task.outputTokens.coerceAtLeast(1), slots = slots)
    }

    /** True if the gates permit one more run at [engine]; runs that are chosen but not yet sent use up their room. */
    private fun isPermitted(engine: Replica, task: SampleTask, running: Map<TargetId, List<Instant>>): Boolean {
        val room = gates.room(engine, task.gated)
        return room == Int.MAX_VALUE || running[engine.id].orEmpty().size < tracker.of(engine).running + room
    }

    /** Leaves one slot free unless a run began after the failure; runs from before it may go on for long. */
    private fun slotsAfterFailure(engine: Replica, runs: List<Instant>): Int {
        val failedAt = tracker.of(engine).failedAt ?: return 1
        return minOf(engine.slots, runs.count { it < failedAt } + 1)
    }

    private companion object {
        /**
         * Speed ratio above which a run is moved to another engine. Healthy engines of one fleet differ by up to 2.7,
         * and a move costs a connection and a second prefill of the prompt; an engine that degrades slows by a factor
         * of 3 to 4.
         */
        const val MIN_SPEEDUP_TO_MOVE = 3.0

        /** Minimum time from a failure of an engine until it is tried before the end of its backoff. */
        val PROBE_INTERVAL = 500.milliseconds
    }
}
