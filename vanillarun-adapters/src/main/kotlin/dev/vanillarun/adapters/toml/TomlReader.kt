package dev.vanillarun.adapters.toml

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/**
 * Decodes TOML into a serializable class and reports all problems, not only the first.
 *
 * ```
 * when (val outcome = TomlReader.read("daemon.toml", text, DaemonSettings.serializer())) {
 *     is ReadOutcome.Read -> outcome.value
 *     is ReadOutcome.Rejected -> outcome.problems.forEach(::println)
 * }
 * ```
 */
public object TomlReader {
    /** Decodes [text]. Problems name [file] as their source; [overrides] replace top-level strings of the text. */
    public fun <T> read(
        file: String,
        text: String,
        type: KSerializer<T>,
        overrides: Map<String, String> = emptyMap(),
    ): ReadOutcome<T> = readPartially(file, text, type, overrides).let {
        if (it.value == null || it.problems.isNotEmpty()) {
            ReadOutcome.Rejected(it.problems)
        } else {
            ReadOutcome.Read(it.value, it.lines)
        }
    }

    /** Like [read], but keeps the parts of [text] that match [type], so that they can be validated all the same. */
    internal fun <T> readPartially(
        file: String,
        text: String,
        type: KSerializer<T>,
        overrides: Map<String, String> = emptyMap(),
    ): PartialRead<T> {
        val problems = mutableListOf<Problem>()
        val report = { key: String, message: String, line: Int? -> problems += Problem(file, key, message, line) }
        val parsed = parseToml(text, report) ?: return PartialRead(value = null, problems, emptyMap())
        val tree = parsed.copy(entries = parsed.entries + overrides.mapValues { TomlTree.Leaf(it.value, line = 1) })
        val reader = SchemaReader(report)
        val json = reader.read(type.descriptor, tree)
        return PartialRead(Json.decodeFromJsonElement(type, json), problems.sortedBy { it.line ?: 0 }, reader.lines)
    }
}

/** The parts of a file that could be decoded, and the problems of the others. */
internal class PartialRead<out T>(
    /** Decoded value, with placeholders for missing or mismatched parts; null if the text is not TOML. */
    val value: T?,
    /** Problems ordered by line. */
    val problems: List<Problem>,
    /** Line number of every key in the text. */
    val lines: Map<String, Int>,
) {
    /** True if [key], an enclosing key or a nested key has a problem, so that its value must not be validated. */
    fun isInvalid(key: String): Boolean = problems.any { key.isWithin(it.key) || it.key.isWithin(key) }

    private fun String.isWithin(outer: String) = this == outer || startsWith("$outer.") || startsWith("$outer[")
}
