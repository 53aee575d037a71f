package dev.vanillarun.daemon.rollout

import dev.vanillarun.core.sample.SampleId
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The part of a pull's response that a trainer reads. */
@Serializable
internal data class ForwardedBody(val samples: List<SampleId>, val cursor: String, val done: Boolean) {
    val ids get() = samples

    companion object {
        private val json = Json { ignoreUnknownKeys = true }

        fun parse(body: String): ForwardedBody = json.decodeFromString(serializer(), body)
    }
}
