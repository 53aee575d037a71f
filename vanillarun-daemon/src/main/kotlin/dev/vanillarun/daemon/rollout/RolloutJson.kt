package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.sample.Delivery
import dev.vanillarun.core.sample.Sample
import dev.vanillarun.core.sample.StepSpec
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** Encodes the JSON response bodies of the rollout API. */
internal object RolloutJson {
    fun accepted(spec: StepSpec, result: SubmissionResult.Accepted): String = buildJsonObject {
        put("trainer", spec.trainer)
        put("step", spec.step)
        put("samples", result.samples)
        put("recorded", result.recorded)
    }.toString()

    fun delivery(delivery: Delivery): String = buildJsonObject {
        putJsonArray("samples") { delivery.samples.forEach { add(sample(it)) } }
        put("cursor", delivery.held.cursor())
        put("remaining", delivery.remaining)
        put("done", delivery.remaining == 0)
        putJsonArray("failed") {
            delivery.failed.forEach { (id, reason) ->
                addJsonObject {
                    put("group", id.group)
                    put("index", id.index)
                    put("reason", reason)
                }
            }
        }
    }.toString()

    private fun sample(sample: Sample): JsonObject = buildJsonObject {
        put("group", sample.id.group)
        put("index", sample.id.index)
        put("text", sample.text)
        put("tokens", sample.tokens)
        put("finish_reason", sample.finishReason)
        putJsonArray("weight_versions") { sample.weightVersions.forEach { add(it.number) } }
        put("target", sample.target.value)
        put("attempt", sample.attempt)
    }
}
