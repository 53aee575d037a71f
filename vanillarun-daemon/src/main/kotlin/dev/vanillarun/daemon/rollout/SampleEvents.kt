package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.sample.AttemptFailure
import dev.vanillarun.core.sample.Delivery
import dev.vanillarun.core.sample.SampleId
import dev.vanillarun.core.sample.StepKey
import dev.vanillarun.core.sample.StepLogState
import dev.vanillarun.core.timeline.EventLinks
import dev.vanillarun.core.timeline.EventRecorder
import kotlinx.coroutines.CancellationException

/** Records the events of steps and samples. */
internal class SampleEvents(private val events: EventRecorder) {
    /** This instance is the first runner of [key]; [log] is the state read back from its stream. */
    fun started(key: StepKey, log: StepLogState) {
        events.record("step.started", EventLinks(sample = key.name(), appends = log.runnerRecord), emptyMap())
    }

    /** This instance took over [key]; [before] names the previous runner, [now] is the state after the takeover. */
    fun takenOver(key: StepKey, before: StepLogState, now: StepLogState) {
        val links = EventLinks(sample = key.name(), applies = before.runnerRecord, appends = now.runnerRecord)
        events.record("step.taken_over", links, mapOf("from" to "${before.runner?.instance}"))
    }

    /** The samples of [delivery] are returned to the trainer. */
    fun delivered(key: StepKey, delivery: Delivery) {
        delivery.samples.forEach {
            val attributes = mapOf("attempt" to "${it.attempt}", "weight_versions" to it.weightVersions.joinToString())
            events.record("sample.delivered", EventLinks(sample = key.name(it.id)), attributes)
        }
    }

    /** Wraps [generator] to record the start and end of each attempt for [key]. */
    fun recording(generator: SampleGenerator, key: StepKey): SampleGenerator = SampleGenerator { request ->
        val links = EventLinks(request = request.requestId, sample = key.name(request.sample))
        val attempt = "attempt" to "${request.attempt}"
        events.record("sample.started", links, mapOf(attempt))
        try {
            generator.generate(request).also { events.record("sample.ended", links, mapOf(attempt) + it.attributes()) }
        } catch (e: CancellationException) {
            events.record("sample.ended", links, mapOf(attempt, "result" to "cancelled"))
            throw e
        }
    }

    private fun StepKey.name() = "$trainer/$step"

    private fun StepKey.name(sample: SampleId) = "${name()}/${sample.group}/${sample.index}"

    private fun SampleResult.attributes(): Map<String, String> = when (this) {
        is SampleResult.Completed -> mapOf(
            "result" to "completed",
            "target" to "${sample.target}",
            "weight_versions" to sample.weightVersions.joinToString(),
        )

        is SampleResult.Failed -> mapOf("result" to "failed") + failure.attributes()
    }

    private fun AttemptFailure.attributes(): Map<String, String> = when (this) {
        is AttemptFailure.NoCapacity -> mapOf("reason" to reason)
        is AttemptFailure.Permanent -> mapOf("reason" to reason)
        is AttemptFailure.Retryable -> mapOf("reason" to reason, "target" to "$target")
    }
}
