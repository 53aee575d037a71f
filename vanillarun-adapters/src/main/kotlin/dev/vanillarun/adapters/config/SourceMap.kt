package dev.vanillarun.adapters.config

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.core.config.ConfigProblem
import dev.vanillarun.core.config.RolloutConfig

/** Maps keys of the merged configuration to their file, their key inside that file, and their line. */
internal class SourceMap {
    private class SourceFile(val file: String, val lines: Map<String, Int>, val firstIndices: Map<String, Int>)

    private val sourceFiles = mutableListOf<SourceFile>()
    private val filesWithPriorities = mutableListOf<SourceFile>()

    /** Adds [file], whose [part] is appended to the lists of [before]; [lines] holds the line of each of its keys. */
    fun add(file: String, lines: Map<String, Int>, before: RolloutConfig, part: RolloutConfig) {
        val firstIndices = mapOf(
            "customers" to before.customers.size,
            "routes" to before.routes.size,
            "targets" to before.targets.size,
            "priorities" to before.priorities.size,
            "spending" to before.spending.size,
        )
        sourceFiles += SourceFile(file, lines, firstIndices)
        if (part.priorities.isNotEmpty()) filesWithPriorities += sourceFiles.last()
    }

    /** A problem for each further file that lists priorities; their order is significant, so one file must list all. */
    fun duplicatePriorityLists(): List<Problem> = filesWithPriorities.drop(1).map {
        val first = filesWithPriorities.first().file
        Problem(
            it.file,
            "priorities",
            "$first lists priorities too; keep all of them in one file",
            it.lines["priorities"],
        )
    }

    /** Converts the key of [problem] in the merged configuration to a file, the key inside that file, and the line. */
    fun locate(problem: ConfigProblem): Problem {
        val match = ITEM_KEY.matchEntire(problem.key)
        val (list, index, rest) = match?.destructured ?: return withoutLine(problem)
        val source = sourceFiles.last { it.firstIndices.getValue(list) <= index.toInt() }
        val key = "$list[${index.toInt() - source.firstIndices.getValue(list)}]$rest"
        return Problem(source.file, key, withFileNames(problem, source), source.lineOf(key))
    }

    private fun withoutLine(problem: ConfigProblem) =
        Problem(sourceFiles.joinToString { it.file }.ifEmpty { "(no file)" }, problem.key, problem.message)

    /** The message of [problem], with keys of the merged configuration replaced by those that the operator wrote. */
    private fun withFileNames(problem: ConfigProblem, origin: SourceFile): String =
        KEY_REFERENCE.replace(problem.message) { reference ->
            val (list, index, rest) = reference.destructured
            val source = sourceFiles.last { it.firstIndices.getValue(list) <= index.toInt() }
            val key = "$list[${index.toInt() - source.firstIndices.getValue(list)}]$rest"
            if (source === origin) key else "$key in ${source.file}"
        }

    private fun SourceFile.lineOf(key: String): Int? =
        generateSequence(key) { it.substringBeforeLast('.', "").ifEmpty { null } }.firstNotNullOfOrNull(lines::get)

    private companion object {
        const val LIST_NAMES = "customers|routes|targets|priorities|spending"
        val ITEM_KEY = Regex("""($LIST_NAMES)\[(\d+)](.*)""")
        val KEY_REFERENCE = Regex("""($LIST_NAMES)\[(\d+)]([a-z0-9_.\[\]]*)""")
    }
}
