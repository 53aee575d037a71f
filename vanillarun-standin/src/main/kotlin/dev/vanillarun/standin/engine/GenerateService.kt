package dev.vanillarun.standin.engine

import dev.vanillarun.standin.http.Exchange
import dev.vanillarun.standin.http.Reply
import dev.vanillarun.standin.http.presents
import dev.vanillarun.standin.http.wireJson
import kotlinx.coroutines.channels.toList
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap

/** The inference interface of the engine. */
internal class GenerateService(
    private val settings: EngineSettings,
    private val loop: GenerationLoop,
    private val state: EngineState,
) {
    private val running = ConcurrentHashMap<String, Generation>()

    suspend fun serve(exchange: Exchange, shape: AnswerShape): Reply {
        if (!exchange.presents(settings.credential)) return Reply.refusal(UNAUTHORIZED, "wrong target credential")
        val request = wireJson.decodeFromString(GenerateRequest.serializer(), exchange.body)
        refusal(request)?.let { return it }
        exchange.tookEffect()
        val id = exchange.header(REQUEST_ID) ?: UUID.randomUUID().toString()
        val prompt = request.prompt(exchange)
        val headers = mapOf(REQUEST_ID to id)
        if (request.stream) return Reply.Streamed(stream(id, request, prompt, shape), headers)
        val generation = begin(id, prompt)
        try {
            val tokens = generation.tokens.toList()
            val answer = shape.whole(id, request, tokens, generation.finishReason)
            return Reply.Whole(body = wireJson.encodeToString(answer), headers = headers)
        } finally {
            end(id, generation)
        }
    }

    private fun refusal(request: GenerateRequest): Reply? {
        val role = state.role
        val cached = loop.exportPrefix(PrefixCache.prefixOf(request.text())) != null
        return when {
            request.model !in state.models -> Reply.refusal(NOT_FOUND, "model ${request.model} is not loaded")

            !role.takes(
                request.maxTokens,
                cached,
            ) -> Reply.refusal(CONFLICT, "the role ${role.wire} takes no such work")

            else -> null
        }
    }

    /** Cancels the generation of the named request. */
    fun cancel(exchange: Exchange): Reply {
        val id = wireJson.decodeFromString(CancelRequest.serializer(), exchange.body).requestId
        running[id]?.let(loop::cancel)
        return Reply.Whole()
    }

    private fun stream(id: String, request: GenerateRequest, prompt: Prompt, shape: AnswerShape): Flow<String> = flow {
        val generation = begin(id, prompt)
        try {
            var count = 0
            var held: Token? = generation.tokens.receiveCatching().getOrNull()
            while (held != null) {
                val run = mutableListOf<Token>(held)
                held = generation.tokens.takeReady(run)
                count += run.size
                emit(event(wireJson.encodeToString(shape.event(id, request, run))))
                held = held ?: generation.tokens.receiveCatching().getOrNull()
            }
            emit(event(wireJson.encodeToString(shape.last(id, request, count, generation.finishReason))))
            emit(event("[DONE]"))
        } finally {
            end(id, generation)
        }
    }

    private fun begin(id: String, prompt: Prompt): Generation = loop.submit(prompt).also { running[id] = it }

    private fun end(id: String, generation: Generation) {
        running.remove(id, generation)
        loop.cancel(generation)
    }

    private fun GenerateRequest.prompt(exchange: Exchange) = Prompt(
        text = text(),
        seed = seed,
        maxTokens = maxTokens,
        priority = exchange.header("X-Priority")?.toIntOrNull() ?: DEFAULT_PRIORITY,
        resumed = resume.tokens,
    )

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val DEFAULT_PRIORITY = 1
    }
}

private fun event(data: String): String = "data: $data\n\n"
