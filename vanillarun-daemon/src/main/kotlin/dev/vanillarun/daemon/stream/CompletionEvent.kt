package dev.vanillarun.daemon.stream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** An event of a streamed completion, as far as the relay needs to know. */
public sealed interface CompletionEvent {
    /** Tokens, a finish reason, or both. */
    public data class Part(
        /** Generated text. */
        public val text: String,
        /** Number of tokens; null if the engine does not say. */
        public val tokens: Int?,
        /** True if a finish reason is given. */
        public val finishes: Boolean,
        /** Figures, in the last event. */
        public val usage: TokenFigures?,
        /** True if the event reports an error of the engine. */
        public val failed: Boolean,
    ) : CompletionEvent

    /** The end mark. */
    public data object End : CompletionEvent

    /** A comment or heartbeat. */
    public data object Comment : CompletionEvent

    /** Not an event of a completion. */
    public data object Malformed : CompletionEvent

    /** Reading of events. */
    public companion object {
        private const val DATA = "data:"
        private val json = Json { ignoreUnknownKeys = true }

        /** Reads the event in [bytes]. */
        public fun read(bytes: ByteArray): CompletionEvent {
            val data = bytes.decodeToString().lineSequence()
                .filter { it.startsWith(DATA) }
                .joinToString("\n") { it.removePrefix(DATA).trim() }
            return when (data) {
                "" -> Comment
                "[DONE]" -> End
                else -> part(data)
            }
        }

        private fun part(data: String): CompletionEvent = try {
            val wire = json.decodeFromString(EventJson.serializer(), data)
            Part(
                text = wire.choices.joinToString("") { it.text ?: it.delta?.content.orEmpty() },
                tokens = wire.tokens,
                finishes = wire.choices.any { it.finishReason != null },
                usage = wire.usage,
                failed = wire.error != null,
            )
        } catch (_: SerializationException) {
            Malformed
        }
    }
}

/** Figures of a completion. */
@Serializable
public data class TokenFigures(
    /** Tokens of the prompt. */
    @SerialName("prompt_tokens")
    public val promptTokens: Long = 0,
    /** Generated tokens. */
    @SerialName("completion_tokens")
    public val completionTokens: Long = 0,
)

@Serializable
internal data class EventJson(
    val choices: List<ChoiceJson> = emptyList(),
    val usage: TokenFigures? = null,
    val tokens: Int? = null,
    val error: kotlinx.serialization.json.JsonElement? = null,
)

@Serializable
internal data class ChoiceJson(
    val text: String? = null,
    val delta: DeltaJson? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

@Serializable
internal data class DeltaJson(val content: String? = null)
