package dev.vanillarun.standin.engine

import kotlinx.coroutines.channels.Channel

/** A generated token. */
public data class Token(
    /** Text, with its space. */
    public val text: String,
    /** Weight version that generated it. */
    public val version: Long,
)

/** What is to be generated. */
public data class Prompt(
    /** Text of the prompt. */
    public val text: String,
    /** Seed. */
    public val seed: Long = 0,
    /** Tokens of the whole answer, resumed ones included. */
    public val maxTokens: Int = 16,
    /** Zero goes first. */
    public val priority: Int = 1,
    /** Tokens that were generated elsewhere and are continued. */
    public val resumed: Int = 0,
)

/** A generation that is waiting or running. */
public class Generation internal constructor(
    /** Identity within the engine. */
    public val id: Long,
    /** What is generated. */
    public val prompt: Prompt,
    /** Why it ends if nothing intervenes. */
    public val plannedFinish: String,
) {
    private val text = TokenText(prompt.text, prompt.seed)
    private val channel = Channel<Token>(Channel.UNLIMITED)
    private var position = prompt.resumed

    /** Tokens in order; closed at the end. */
    public val tokens: Channel<Token> get() = channel

    /** Why it ended: `length`, `stop` or `cancelled`. */
    @Volatile
    public var finishReason: String = plannedFinish
        private set

    internal fun produce(version: Long) {
        channel.trySend(Token(text.at(position++, version), version))
    }

    internal fun finish() {
        channel.close()
    }

    internal fun cancelled() {
        finishReason = "cancelled"
        channel.close()
    }
}
