package dev.vanillarun.standin.engine

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable

@Serializable
internal data class ResumePoint(val text: String = "", val tokens: Int = 0)

@Serializable
internal data class ChatMessage(val role: String = "user", val content: String = "")

@Serializable
internal data class GenerateRequest(
    val model: String = "",
    val prompt: String = "",
    val messages: List<ChatMessage> = emptyList(),
    val maxTokens: Int = 16,
    val seed: Long = 0,
    val stream: Boolean = false,
    val resume: ResumePoint = ResumePoint(),
) {
    /** Text that is read in. */
    fun text(): String = prompt.ifEmpty { messages.joinToString("\n") { "${it.role}: ${it.content}" } }
}

@Serializable
internal data class TokenUsage(
    val promptTokens: Int,
    val completionTokens: Int,
    val totalTokens: Int = promptTokens + completionTokens,
)

/** One choice of an answer or of a stream event; what does not belong to the interface in use stays null. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class Choice(
    val index: Int = 0,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val text: String? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val message: ChatMessage? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val delta: ChatDelta? = null,
    val finishReason: String? = null,
)

@Serializable
internal data class ChatDelta(val content: String)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class GenerateAnswer(
    val id: String,
    val `object`: String,
    val model: String,
    val choices: List<Choice>,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val usage: TokenUsage? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val weightVersions: List<Long>? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val weightVersion: Long? = null,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val tokens: Int? = null,
)

@Serializable
internal data class CancelRequest(val requestId: String)

@Serializable
internal data class EngineOrder(
    val id: String,
    val kind: String,
    val version: Long = 0,
    val term: Long = 0,
    val issuer: String = "",
    val adapter: String = "",
    val role: String = "mixed",
)

@Serializable
internal data class LoadAnswer(
    val version: Long,
    val role: String,
    val running: Int,
    val waiting: Int,
    val kvUsed: Int,
    val kvTotal: Int,
    val tokensPerSecond: Long,
    val ageMs: Long,
)

@Serializable
internal data class CacheEventsAnswer(val events: List<CacheEvent>, val next: Long)

@Serializable
internal data class KvCache(val prefix: String, val prompt: String)

@Serializable
internal data class ModelEntry(val id: String, val `object`: String = "model")

@Serializable
internal data class ModelsAnswer(val data: List<ModelEntry>, val `object`: String = "list")
