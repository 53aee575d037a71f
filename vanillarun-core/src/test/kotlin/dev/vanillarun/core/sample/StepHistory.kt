package dev.vanillarun.core.sample

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import kotlin.random.Random

/** A trainer and a sequence of runners, driven by a seeded source of events. */
internal class StepHistory(private val spec: StepSpec, private val random: Random) {
    val accepted = mutableListOf<Sample>()
    val versionsAtDelivery = mutableListOf<Long>()
    private var state = StepState.of(spec)
    private var held = HeldSamples.none(spec)
    private var version = spec.version
    private var second = 0

    fun run(): StepHistory {
        repeat(CHAOTIC_EVENTS) { chaoticEvent() }
        while (!held.complete) {
            check(second++ < MAX_EVENTS) { "the step does not end: $state" }
            startSome()
            finishOne(succeed = true)
            pull(answerLost = false)
        }
        return this
    }

    private fun chaoticEvent() {
        second++
        when (random.nextInt(10)) {
            0, 1 -> startSome()
            2, 3, 4 -> finishOne(succeed = random.nextInt(4) > 0)
            5 -> hedge()
            6 -> version++
            7 -> if (random.nextInt(4) == 0) state = StepState.of(spec, held)
            else -> pull(answerLost = random.nextInt(3) == 0)
        }
    }

    private fun startSome() {
        state = state.start(limit = 1 + random.nextInt(4), now = at(second)).state
    }

    private fun hedge() {
        state = state.hedge(HedgePolicy(evidencePercent = 0, budgetPercent = 50), limit = 2, now = at(second)).state
    }

    private fun finishOne(succeed: Boolean) {
        val attempt = state.running.keys.randomOrNull(random) ?: return
        state =
            if (succeed) {
                val versions = listOf(version - random.nextInt(3), version)
                state.attemptCompleted(attempt, spec.sampleAt(attempt, versions), now = at(second)).state
            } else {
                state.attemptFailed(attempt, failure(), at(second + random.nextInt(3))).state
            }
    }

    private fun failure(): AttemptFailure =
        if (random.nextBoolean()) AttemptFailure.NoCapacity("full") else AttemptFailure.Retryable("cut", TargetId("e1"))

    private fun pull(answerLost: Boolean) {
        val transition = state.pull(held, WeightVersion(version), limit = 1 + random.nextInt(5))
        state = transition.state
        if (answerLost) return
        accepted += transition.delivery.samples
        repeat(transition.delivery.samples.size) { versionsAtDelivery += version }
        held = transition.delivery.held
    }

    private companion object {
        const val CHAOTIC_EVENTS = 120
        const val MAX_EVENTS = 10_000
    }
}
