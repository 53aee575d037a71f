package dev.vanillarun.core.sample

import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.id.WeightVersion
import kotlin.random.Random

/** Simulates a trainer and the instances that run its step, one after another, with random events from a seed. */
internal class StepHistory(private val spec: StepSpec, private val random: Random) {
    val accepted = mutableListOf<Sample>()
    val versionsAtDelivery = mutableListOf<Long>()
    private var state = StepState.of(spec)
    private var held = HeldSamples.none(spec)
    private var version = spec.version
    private var seconds = 0

    fun run(): StepHistory {
        repeat(RANDOM_EVENTS) { randomEvent() }
        while (!held.complete) {
            check(seconds++ < MAX_EVENTS) { "the step did not end within $MAX_EVENTS events: $state" }
            startAttempts()
            finishAttempt(succeed = true)
            pull(responseLost = false)
        }
        return this
    }

    private fun randomEvent() {
        seconds++
        when (random.nextInt(10)) {
            0, 1 -> startAttempts()
            2, 3, 4 -> finishAttempt(succeed = random.nextInt(4) > 0)
            5 -> hedge()
            6 -> version++
            7 -> if (random.nextInt(4) == 0) state = StepState.of(spec, held)
            else -> pull(responseLost = random.nextInt(3) == 0)
        }
    }

    private fun startAttempts() {
        state = state.start(limit = 1 + random.nextInt(4), now = at(seconds)).state
    }

    private fun hedge() {
        state =
            state.hedge(HedgePolicy(minCompletedPercent = 0, budgetPercent = 50), limit = 2, now = at(seconds)).state
    }

    private fun finishAttempt(succeed: Boolean) {
        val attempt = state.running.keys.randomOrNull(random) ?: return
        state =
            if (succeed) {
                val versions = listOf(version - random.nextInt(3), version)
                state.attemptCompleted(attempt, spec.sampleAt(attempt, versions), now = at(seconds)).state
            } else {
                state.attemptFailed(attempt, failure(), at(seconds + random.nextInt(3))).state
            }
    }

    private fun failure(): AttemptFailure =
        if (random.nextBoolean()) AttemptFailure.NoCapacity("full") else AttemptFailure.Retryable("cut", TargetId("e1"))

    private fun pull(responseLost: Boolean) {
        val transition = state.pull(held, WeightVersion(version), limit = 1 + random.nextInt(5))
        state = transition.state
        if (responseLost) return
        accepted += transition.delivery.samples
        repeat(transition.delivery.samples.size) { versionsAtDelivery += version }
        held = transition.delivery.held
    }

    private companion object {
        const val RANDOM_EVENTS = 120
        const val MAX_EVENTS = 10_000
    }
}
