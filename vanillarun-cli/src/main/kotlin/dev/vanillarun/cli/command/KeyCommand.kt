package dev.vanillarun.cli.command

import dev.vanillarun.adapters.commandline.asArgument
import dev.vanillarun.cli.ExitCode
import dev.vanillarun.cli.output.Answer
import dev.vanillarun.core.key.KeyIndex
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.serialization.Serializable
import java.security.SecureRandom
import java.util.Base64

/** What `vanillarun key` does. */
internal enum class KeyAction {
    /** Makes a key. */
    NEW,
}

/** `vanillarun key new`. */
internal class KeyCommand : Command("key", "Make a customer's key and show its secret once") {
    private val action by argument(ArgType.Choice<KeyAction>().asArgument(), "ACTION", "What to do")
    private val id by option(ArgType.String, "id", description = "Public name of the key").default("key-1")

    override suspend fun run(): Answer = when (action) {
        KeyAction.NEW -> newKey(id, SecureRandom())
    }
}

/** A new key named [id] with a secret from [random]. */
internal fun newKey(id: String, random: SecureRandom): Answer {
    val bytes = ByteArray(SECRET_BYTES).also(random::nextBytes)
    val secret = SECRET_PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    val hash = KeyIndex.hexOf(secret)
    val snippet = listOf("[[customers.keys]]", "id = \"$id\"", "sha256 = \"$hash\"")
    val text = listOf(
        "secret, shown only now; give it to the customer:",
        secret,
        "",
        "add below the customer in its *.vanillarun.toml and publish:",
    ) + snippet
    return Answer.of(
        ExitCode.OK,
        text,
        KeyJson.serializer(),
        KeyJson(id, secret, hash, snippet.joinToString("\n", postfix = "\n")),
    )
}

@Serializable
private data class KeyJson(val id: String, val secret: String, val sha256: String, val toml: String)

private const val SECRET_BYTES = 32
private const val SECRET_PREFIX = "vr_"
