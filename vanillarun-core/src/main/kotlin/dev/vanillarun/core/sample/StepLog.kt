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

/** Instance that runs a step. */
public data class RunnerAddress(
    /** Instance. */
    public val instance: InstanceId,
    /** Run of the instance. */
    public val incarnation: Incarnation,
    /** Its peer endpoint, `host:port`. */
    public val address: String,
)

/** What a step's stream says: the first submission counts, and the last runner. */
public data class StepLog(
    /** The step, null while none was submitted. */
    public val spec: StepSpec? = null,
    /** Instance that runs it. */
    public val runner: RunnerAddress? = null,
    /** Record that made it the runner. */
    public val runnerRecord: RecordId? = null,
) {
    /** This state after [record]; records that are damaged or of another kind change nothing. */
    public fun after(record: StoredRecord): StepLog {
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

/** Text form of a step. */
public object StepSpecCodec {
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [spec] with all fields. */
    public fun encode(spec: StepSpec): String = json.encodeToString(StepSpec.serializer(), spec)

    /** The step in [text], or null if it is not one. */
    public fun decode(text: String): StepSpec? = try {
        json.decodeFromString(StepSpec.serializer(), text)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }
}
