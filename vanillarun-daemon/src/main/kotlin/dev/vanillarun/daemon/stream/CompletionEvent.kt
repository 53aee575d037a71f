package dev.vanillarun.daemon.stream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** A server-sent event of a streamed completion, reduced to the fields that the relay uses. */
public sealed interface CompletionEvent {
    /** A JSON event with text, a finish reason, usage, an error, or several of them. */
    public data class Part(
        /** Text generated since the previous event; may be empty. */
        public val text: String,
        /** Number of tokens in [text]; null if the engine does not report it. */
        public val tokens: Int?,
        /** True if the event has a finish reason. */
        public val finishes: Boolean,
        /** Token counts of the whole completion; only in the last event, else null. */
        public val usage: TokenFigures?,
        /** True if the engine reports an error in this event. */
        public val failed: Boolean,
    ) : CompletionEvent

    /** The terminating `[DONE]` event. */
    public data object End : CompletionEvent

    /** An event without data: a comment or a heartbeat. */
    public data object Comment : CompletionEvent

    /** The data is not the JSON of a completion event. */
    public data object Malformed : CompletionEvent

    /** Parses events. */
    public companion object {
        private const val DATA = "data:"
        private val json = Json { ignoreUnknownKeys = true }

        /** Parses one complete event; never throws on malformed data. */
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
            val event = json.decodeFromString(EventJson.serializer(), data)
            Part(
                text = event.choices.joinToString("") { it.text ?: it.delta?.content.orEmpty() },
                tokens = event.tokens,
                finishes = event.choices.any { it.finishReason != null },
                usage = event.usage,
                failed = event.error != null,
            )
        } catch (_: SerializationException) {
            Malformed
        }
    }
}

/** Token counts of a completion, as in its `usage` field. */
@Serializable
public data class TokenFigures(
    /** Number of tokens in the prompt; 0 if not reported. */
    @SerialName("prompt_tokens")
    public val promptTokens: Long = 0,
    /** Number of generated tokens; 0 if not reported. */
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
