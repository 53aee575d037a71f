package dev.vanillarun.bench.policy

import dev.vanillarun.core.admission.Affinity
import dev.vanillarun.core.admission.FairQueue
import dev.vanillarun.core.admission.Ticket
import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.routing.RelocationPolicy
import dev.vanillarun.core.routing.StreamingRequest
import dev.vanillarun.core.routing.TargetSelector
import dev.vanillarun.core.sample.HedgePolicy
import dev.vanillarun.core.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** How the samples of a step are handed to targets. */
internal enum class Handout(val label: String) {
    /** All at once; they queue inside the targets. */
    EAGER("eager"),

    /** When the chosen target has room. */
    LATE("late"),

    /** As [LATE], and the last stragglers of a group are hedged. */
    HEDGED("hedged"),

    /** As [LATE], and the last samples of a step are resumed on faster targets. */
    RELOCATED("relocated"),

    /** As [RELOCATED], and samples go first where their group's prompt is cached. */
    AFFINE("relocated, affine"),
}

/** Size and conditions of the steps that are run. */
internal data class StepSetup(
    val fleet: List<TargetSpec>,
    val trainers: Int = 2,
    val groups: Int = 32,
    val groupSize: Int = 8,
    val steps: Int = 4,
    val meanTokens: Double = 200.0,
    val promptTokens: Long = 1000,
)

/**
 * Outcome of one run: the mean time of a step after the first, in which speeds are learned, beside the bound that the
 * fleet's speed sets and the time that the longest sample takes on the fastest target.
 */
internal data class StepResult(
    val stepSeconds: Double,
    val boundSeconds: Double,
    val longestSeconds: Double,
    val attemptsPerSample: Double,
)

/** Several trainers, each on an instance of its own, run steps one after the other on a shared fleet. */
internal class StepScenario(
    private val setup: StepSetup,
    private val selector: (Random) -> TargetSelector,
    private val handout: Handout,
    seed: Int,
) {
    private class Sample(val call: Call) {
        val attempts = ArrayList<ModelInstance.Sent>()
        var since = Instant(0)
        var done = false
        var moves = 0
    }

    private val random = Random(seed)
    private val workload = Workload(Random(seed + 1))
    private val simulation = Simulation()
    private val targets = setup.fleet.map { ModelTarget(it, simulation, Random(random.nextInt())) }
    private val stepTimes = ArrayList<Duration>()
    private val longestSamples = ArrayList<Long>()
    private var work = 0L
    private var attempts = 0L
    private var contenders = setup.trainers

    fun run(): StepResult {
        val trainers = List(setup.trainers) { Trainer(it) }
        simulation.every(SUMMARY_INTERVAL, active = { trainers.any { it.running } }) {
            contenders = trainers.count { it.hasWaiting }
        }
        trainers.forEach { it.start() }
        simulation.run()
        val samples = setup.trainers * setup.steps * setup.groups * setup.groupSize
        val mean = stepTimes.sumOf { it.toDouble(DurationUnit.SECONDS) } / stepTimes.size
        val bound = work / setup.fleet.totalSpeed() / setup.steps
        val longest = longestSamples.drop(setup.trainers).average() / setup.fleet.maxOf { it.tokensPerSecond }
        return StepResult(mean, bound, longest, attempts.toDouble() / samples)
    }

    private inner class Trainer(private val number: Int) {
        var running = true
            private set

        val hasWaiting: Boolean get() = waiting.size > 0

        private val lag = ReportLag(1.seconds, 500.milliseconds)
        private val instance =
            ModelInstance(simulation, targets, selector(Random(random.nextInt())), lag, { contenders }) { running }
        private val hedges = HedgePolicy()
        private val relocations = RelocationPolicy()
        private val durations = ArrayList<Duration>()
        private var hedged = 0
        private val waiting = FairQueue<Sample>(listOf(Sampling), limit = Int.MAX_VALUE)
        private val inProgress = LinkedHashSet<Sample>()
        private var left = 0
        private var step = 0
        private var started = Instant(0)

        fun start() {
            simulation.every(TAIL_INTERVAL, active = { running }) { workOnTail() }
            startStep()
        }

        private fun startStep() {
            started = simulation.now
            var longest = 0L
            repeat(setup.groups) { g ->
                val mean = workload.size(setup.meanTokens, GROUP_SIGMA).toDouble()
                repeat(setup.groupSize) {
                    val call = Call(setup.promptTokens, workload.size(mean, SAMPLE_SIGMA), "$number/$step/$g")
                    work += call.outputTokens
                    waiting.offer(
                        Ticket(Sample(call), CustomerId("trainer"), Sampling.name, call.outputTokens),
                        simulation.now,
                    )
                    longest = maxOf(longest, call.outputTokens)
                }
                work += setup.promptTokens / PROMPT_TOKENS_PER_UNIT
            }
            left = waiting.size
            longestSamples += longest
            durations.clear()
            hedged = 0
            pump()
        }

        private fun pump() {
            while (waiting.size > 0) {
                val (sample, target) = next() ?: return
                sample.since = simulation.now
                inProgress.add(sample)
                send(sample, target)
            }
        }

        private fun next(): Pair<Sample, ModelTarget>? {
            val open = if (handout == Handout.EAGER) targets.mapTo(HashSet()) { it.spec.id } else instance.open()
            if (open.isEmpty()) return null
            val departure = waiting.poll(simulation.now, affinityOf = { affinity(it, open) }) ?: return null
            val sample = departure.ticket.item
            val closed = targets.map { it.spec.id }.filterNotTo(HashSet()) { it in open }
            return instance.choose(sample.call, closed)?.let { sample to it }
        }

        private fun affinity(sample: Sample, open: Set<TargetId>): Affinity {
            val holders = instance.holdersOf(sample.call)
            return when {
                handout != Handout.AFFINE || holders.isEmpty() -> Affinity.NEUTRAL
                holders.any { it in open } -> Affinity.CACHED
                else -> Affinity.ELSEWHERE
            }
        }

        private fun send(sample: Sample, target: ModelTarget) {
            sample.attempts += instance.send(sample.call, target) { _, answered -> ended(sample, answered) }
        }

        private fun ended(sample: Sample, answered: Boolean) {
            check(answered) { "no target goes away in this scenario" }
            if (sample.done) return
            sample.done = true
            inProgress.remove(sample)
            sample.attempts.forEach { instance.cancel(it) }
            durations += simulation.now - sample.since
            left--
            if (left == 0) finishStep() else pump()
        }

        private fun finishStep() {
            if (step > 0) stepTimes += simulation.now - started
            step++
            if (step < setup.steps) return startStep()
            running = false
            attempts += instance.attempts
        }

        private fun workOnTail() {
            if (waiting.size > 0) return
            when (handout) {
                Handout.HEDGED -> inProgress.toList().forEach { sample -> hedge(sample) }
                Handout.RELOCATED, Handout.AFFINE -> while (relocateOne()) continue
                Handout.EAGER, Handout.LATE -> return
            }
        }

        private fun relocateOne(): Boolean {
            val streams = inProgress.map { it.stream() }
            val move = relocations.relocate(streams, instance.views(), simulation.now) ?: return false
            val sample = move.key
            val last = sample.attempts.last()
            val generated = last.attempt.generated(simulation.now)
            instance.cancel(last)
            val rest = last.attempt.call.outputTokens - generated
            val call = Call(setup.promptTokens + sample.call.outputTokens - rest, rest)
            sample.moves++
            sample.attempts +=
                instance.send(call, targets.first { it.spec.id == move.to }) { _, ok -> ended(sample, ok) }
            return true
        }

        private fun Sample.stream(): StreamingRequest<Sample> {
            val attempt = attempts.last().attempt
            val generated = call.outputTokens - attempt.call.outputTokens + attempt.generated(simulation.now)
            val pace = if (attempt.generated(simulation.now) > 0) attempt.secondsPerToken else 0.0
            val expected = instance.profile(call).outputTokens
            return StreamingRequest(
                this,
                attempts.last().target.spec.id,
                pace,
                generated,
                expected,
                setup.promptTokens,
                moves,
            )
        }

        private fun hedge(sample: Sample) {
            val size = setup.groups * setup.groupSize
            val threshold = hedges.threshold(durations, size) ?: return
            val slow = sample.attempts.size == 1 && simulation.now - sample.since > threshold
            if (!slow || hedged >= hedges.budget(size)) return
            val other = instance.choose(sample.call, setOf(sample.attempts.first().target.spec.id)) ?: return
            hedged++
            send(sample, other)
        }
    }

    private companion object {
        val Sampling = PriorityClass("rollout")
        const val PROMPT_TOKENS_PER_UNIT = 20

        /** Spread of the logarithm of lengths between groups, and within one. */
        const val GROUP_SIGMA = 0.5
        const val SAMPLE_SIGMA = 0.5
        val SUMMARY_INTERVAL = 500.milliseconds
        val TAIL_INTERVAL = 250.milliseconds
    }
}
