package dev.vanillarun.adapters.config

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.core.config.ConfigProblem
import dev.vanillarun.core.config.RolloutConfig

/** Finds the file and line of a key of the whole configuration. */
internal class SourceMap {
    private class Part(val file: String, val lines: Map<String, Int>, val starts: Map<String, Int>)

    private val parts = mutableListOf<Part>()
    private val priorityFiles = mutableListOf<Part>()

    /** Notes that [part] of [file] follows what is in [before]. */
    fun add(file: String, lines: Map<String, Int>, before: RolloutConfig, part: RolloutConfig) {
        val starts = mapOf(
            "customers" to before.customers.size,
            "routes" to before.routes.size,
            "targets" to before.targets.size,
            "priorities" to before.priorities.size,
            "spending" to before.spending.size,
        )
        parts += Part(file, lines, starts)
        if (part.priorities.isNotEmpty()) priorityFiles += parts.last()
    }

    /** The order of classes has a meaning, so that they have to stand in one file. */
    fun splitPriorities(): List<Problem> = priorityFiles.drop(1).map {
        val first = priorityFiles.first().file
        Problem(
            it.file,
            "priorities",
            "$first lists priorities too; keep all of them in one file",
            it.lines["priorities"],
        )
    }

    /** [problem] with file, the key inside it, and line. */
    fun locate(problem: ConfigProblem): Problem {
        val match = ITEM.matchEntire(problem.key)
        val (list, index, rest) = match?.destructured ?: return whole(problem)
        val part = parts.last { it.starts.getValue(list) <= index.toInt() }
        val key = "$list[${index.toInt() - part.starts.getValue(list)}]$rest"
        return Problem(part.file, key, message(problem, part), part.lineOf(key))
    }

    private fun whole(problem: ConfigProblem) =
        Problem(parts.joinToString { it.file }.ifEmpty { "(no file)" }, problem.key, problem.message)

    /** Messages name other keys by their place in the whole; the file and line there are of more use. */
    private fun message(problem: ConfigProblem, here: Part): String = REFERENCE.replace(problem.message) { reference ->
        val (list, index, rest) = reference.destructured
        val part = parts.last { it.starts.getValue(list) <= index.toInt() }
        val key = "$list[${index.toInt() - part.starts.getValue(list)}]$rest"
        if (part === here) key else "$key in ${part.file}"
    }

    private fun Part.lineOf(key: String): Int? =
        generateSequence(key) { it.substringBeforeLast('.', "").ifEmpty { null } }.firstNotNullOfOrNull(lines::get)

    private companion object {
        const val LISTS = "customers|routes|targets|priorities|spending"
        val ITEM = Regex("""($LISTS)\[(\d+)](.*)""")
        val REFERENCE = Regex("""($LISTS)\[(\d+)]([a-z0-9_.\[\]]*)""")
    }
}
