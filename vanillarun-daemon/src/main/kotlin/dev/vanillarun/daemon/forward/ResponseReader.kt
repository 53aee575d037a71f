package dev.vanillarun.daemon.forward

import dev.vanillarun.core.answer.BodyCheck
import dev.vanillarun.core.answer.ResponseFault
import dev.vanillarun.daemon.stream.ChoiceJson
import dev.vanillarun.daemon.stream.TokenFigures
import dev.vanillarun.daemon.target.BodyPart
import dev.vanillarun.daemon.target.TargetResponse
import io.ktor.http.HttpHeaders
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.io.ByteArrayOutputStream

/** Result of reading a response body to its end. */
internal sealed interface BodyRead {
    /** The body is complete. */
    class Complete(val bytes: ByteArray) : BodyRead

    /** The body was cut short, too long, or of another length than announced. */
    data class Faulty(val fault: ResponseFault) : BodyRead
}

/** Reads the body to its end, at most [limit] bytes; [bodiless] ignores a `Content-Length`, as after `HEAD`. */
internal suspend fun TargetResponse.readWhole(limit: Long, bodiless: Boolean, onBytes: () -> Unit): BodyRead {
    val announcedLength = headers[HttpHeaders.ContentLength]?.toLongOrNull()?.takeUnless { bodiless }
    var check = BodyCheck(announcedLength, limit)
    val collected = ByteArrayOutputStream()
    while (true) {
        when (val part = body.next()) {
            is BodyPart.Bytes -> {
                onBytes()
                check = check.received(part.bytes.size)
                check.fault()?.let { return BodyRead.Faulty(it) }
                collected.writeBytes(part.bytes)
            }

            is BodyPart.End -> {
                val fault = check.endFault(part.clean)
                return if (fault == null) BodyRead.Complete(collected.toByteArray()) else BodyRead.Faulty(fault)
            }
        }
    }
}

/** Token counts of a complete completion, or null if [body] is not one. */
internal fun completionFigures(body: ByteArray): TokenFigures? = try {
    val completion = lenient.decodeFromString(CompletionJson.serializer(), body.decodeToString())
    val complete = completion.choices.isNotEmpty() && completion.choices.all { it.finishReason != null }
    if (complete || completion.error != null) completion.usage ?: TokenFigures() else null
} catch (_: SerializationException) {
    null
}

@Serializable
internal data class CompletionJson(
    val choices: List<ChoiceJson> = emptyList(),
    val usage: TokenFigures? = null,
    @SerialName("error") val error: JsonElement? = null,
)

private val lenient = Json { ignoreUnknownKeys = true }
