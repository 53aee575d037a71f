package dev.vanillarun.core.sample

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.DecodedRecord
import dev.vanillarun.core.log.RecordCodec
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.log.StepRunner
import dev.vanillarun.core.log.StepSubmission
import dev.vanillarun.core.log.StoredRecord
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Instance that runs a step, and the endpoint at which its peers reach it. */
public data class RunnerAddress(
    /** Name of the instance. */
    public val instance: InstanceId,
    /** Process run of the instance; a restart gets another one. */
    public val incarnation: Incarnation,
    /** Peer endpoint of the instance, `host:port`. */
    public val address: String,
)

/** State read from a step's stream: the first submission and the last runner win. */
public data class StepLogState(
    /** The submitted step, null if the stream has no submission. */
    public val spec: StepSpec? = null,
    /** Instance that runs the step, null if the stream names none. */
    public val runner: RunnerAddress? = null,
    /** Identity of the record that made [runner] the runner. */
    public val runnerRecord: RecordId? = null,
) {
    /** State after applying [record]; a damaged record or one of another kind is ignored. */
    public fun after(record: StoredRecord): StepLogState {
        val envelope = (RecordCodec.decode(record.payload) as? DecodedRecord.Known)?.envelope ?: return this
        return when (val body = envelope.body) {
            is StepSubmission -> if (spec == null) copy(spec = StepSpecCodec.decode(body.request)) else this

            is StepRunner -> copy(
                runner = RunnerAddress(body.runner, body.incarnation, body.address),
                runnerRecord = envelope.id,
            )

            else -> this
        }
    }
}

/** JSON form of a step, used for submissions and in the log. */
public object StepSpecCodec {
    private val json = Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

    /** Encodes [spec] as JSON with all properties, so that a build with other defaults reads the same step. */
    public fun encode(spec: StepSpec): String = json.encodeToString(StepSpec.serializer(), spec)

    /** Decodes [text]; null if it is not valid JSON of a step. Unknown properties are ignored. */
    public fun decode(text: String): StepSpec? = try {
        json.decodeFromString(StepSpec.serializer(), text)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
