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

/** Outcome of reading a whole body. */
internal sealed interface BodyRead {
    /** The body is whole. */
    class Whole(val bytes: ByteArray) : BodyRead

    /** It is not. */
    data class Faulty(val fault: ResponseFault) : BodyRead
}

/** Reads the body of an answer to its end. */
internal suspend fun TargetResponse.readWhole(limit: Long, bodiless: Boolean, onBytes: () -> Unit): BodyRead {
    val announced = headers[HttpHeaders.ContentLength]?.toLongOrNull()?.takeUnless { bodiless }
    var check = BodyCheck(announced, limit)
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
                return if (fault == null) BodyRead.Whole(collected.toByteArray()) else BodyRead.Faulty(fault)
            }
        }
    }
}

/** Figures of a whole completion, or null if [body] is not one. */
internal fun completionFigures(body: ByteArray): TokenFigures? = try {
    val answer = lenient.decodeFromString(CompletionJson.serializer(), body.decodeToString())
    val whole = answer.choices.isNotEmpty() && answer.choices.all { it.finishReason != null }
    if (whole || answer.error != null) answer.usage ?: TokenFigures() else null
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
