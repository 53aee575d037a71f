package dev.vanillarun.standin.engine

/** How an interface writes answers. */
internal enum class AnswerShape(private val wholeObject: String, private val eventObject: String) {
    /** `/v1/completions`. */
    COMPLETION("text_completion", "text_completion") {
        override fun whole(text: String, finish: String) = Choice(text = text, finishReason = finish)

        override fun part(text: String, finish: String?) = Choice(text = text, finishReason = finish)
    },

    /** `/v1/chat/completions`. */
    CHAT("chat.completion", "chat.completion.chunk") {
        override fun whole(text: String, finish: String) =
            Choice(message = ChatMessage("assistant", text), finishReason = finish)

        override fun part(text: String, finish: String?) = Choice(delta = ChatDelta(text), finishReason = finish)
    }, ;

    protected abstract fun whole(text: String, finish: String): Choice

    protected abstract fun part(text: String, finish: String?): Choice

    /** A whole answer. */
    fun whole(id: String, request: GenerateRequest, tokens: List<Token>, finish: String) = GenerateAnswer(
        id = id,
        `object` = wholeObject,
        model = request.model,
        choices = listOf(whole(tokens.joinToString("") { it.text }, finish)),
        usage = request.usage(tokens.size),
        weightVersions = tokens.map { it.version }.distinct().sorted(),
    )

    /** An event with tokens of one version. */
    fun event(id: String, request: GenerateRequest, tokens: List<Token>) = GenerateAnswer(
        id = id,
        `object` = eventObject,
        model = request.model,
        choices = listOf(part(tokens.joinToString("") { it.text }, finish = null)),
        weightVersion = tokens.first().version,
        tokens = tokens.size,
    )

    /** The last event. */
    fun last(id: String, request: GenerateRequest, tokens: Int, finish: String) = GenerateAnswer(
        id = id,
        `object` = eventObject,
        model = request.model,
        choices = listOf(part(text = "", finish = finish)),
        usage = request.usage(tokens),
    )

    private fun GenerateRequest.usage(tokens: Int) = TokenUsage(text().length / CHARS_PER_TOKEN + 1, tokens)

    private companion object {
        const val CHARS_PER_TOKEN = 4
    }
}
