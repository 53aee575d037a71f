package dev.vanillarun.cli.output

import dev.vanillarun.cli.ExitCode
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** What a command found out. */
internal data class Answer(
    /** How the process ends. */
    val exit: ExitCode,
    /** Lines for a person. */
    val text: List<String>,
    /** The same for a script. */
    val json: JsonElement,
) {
    companion object {
        private val format = Json { encodeDefaults = true }

        /** An answer whose JSON form is [value]. */
        fun <T> of(exit: ExitCode, text: List<String>, type: KSerializer<T>, value: T): Answer =
            Answer(exit, text, format.encodeToJsonElement(type, value))
    }
}

/** Form of a command's output. */
internal enum class OutputFormat {
    /** For a person. */
    TEXT,

    /** One JSON object. */
    JSON,
}

/** This answer as [format] prints it. */
internal fun Answer.render(format: OutputFormat): String = when (format) {
    OutputFormat.TEXT -> text.joinToString("\n")
    OutputFormat.JSON -> json.toString()
}
