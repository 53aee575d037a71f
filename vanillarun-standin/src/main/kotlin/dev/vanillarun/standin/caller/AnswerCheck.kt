package dev.vanillarun.standin.caller

import dev.vanillarun.standin.engine.TokenText
import dev.vanillarun.standin.http.wireJson
import dev.vanillarun.standin.service.Echo
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

@Serializable
private data class SeenChoice(val text: String = "", val finishReason: String? = null)

@Serializable
private data class SeenAnswer(val choices: List<SeenChoice> = emptyList(), val weightVersions: List<Long>? = null)

/** What an answer with status 200 turned out to be. */
public enum class Verdict {
    /** The whole answer to the call. */
    OWN,

    /** A stream that ended before its end mark; the caller can see that it is not whole. */
    CUT,

    /** Not the call's answer, or not whole without saying so. */
    WRONG,
}

/** Checks that an answer is whole and belongs to the call. */
public object AnswerCheck {
    /** Judges [body] as the whole completion of [prompt] and [seed]. */
    public fun completion(body: String, prompt: String, seed: Long, maxTokens: Int): Verdict = judged {
        val answer = wireJson.decodeFromString(SeenAnswer.serializer(), body)
        val text = answer.choices.single().text
        whole(text, prompt, seed, maxTokens) &&
            answer.weightVersions == TokenText.versionsOf(text)?.distinct()?.sorted()
    }

    /** Judges [body] as the event stream of a completion of [prompt] and [seed]. */
    public fun stream(body: String, prompt: String, seed: Long, maxTokens: Int): Verdict {
        val events = body.lines().filter { it.startsWith(DATA) }.map { it.removePrefix(DATA) }
        if (events.lastOrNull() != "[DONE]") return Verdict.CUT
        return judged {
            val answers = events.dropLast(1).map { wireJson.decodeFromString(SeenAnswer.serializer(), it) }
            val choices = answers.flatMap { it.choices }
            choices.last().finishReason != null &&
                whole(choices.joinToString("") { it.text }, prompt, seed, maxTokens)
        }
    }

    /** Judges [body] as the plain service's answer to a call of [uri] with [sent]. */
    public fun echo(body: String, uri: String, sent: String): Verdict = judged {
        val echo = wireJson.decodeFromString(Echo.serializer(), body)
        echo.uri == uri && echo.body == sent
    }

    private fun whole(text: String, prompt: String, seed: Long, maxTokens: Int): Boolean {
        val versions = TokenText.versionsOf(text) ?: return false
        return versions.size == maxTokens && text == TokenText.expected(prompt, seed, versions)
    }

    private fun judged(check: () -> Boolean): Verdict = try {
        if (check()) Verdict.OWN else Verdict.WRONG
    } catch (_: SerializationException) {
        Verdict.WRONG
    } catch (_: NoSuchElementException) {
        Verdict.WRONG
    }

    private const val DATA = "data: "
}
