package dev.vanillarun.cli.output

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.cli.ExitCode
import kotlinx.serialization.Serializable

/** JSON form of a failure. */
@Serializable
internal data class FailureJson(val error: String, val message: String)

/** JSON form of problems in files. */
@Serializable
internal data class ProblemsJson(val problems: List<ProblemJson>)

/** JSON form of a problem. */
@Serializable
internal data class ProblemJson(val file: String, val key: String, val line: Int?, val message: String)

/** The answer to files that have problems. */
internal fun problemAnswer(problems: List<Problem>): Answer = Answer.of(
    exit = ExitCode.PROBLEM,
    text = problems.map(Problem::toString) + "${problems.size} problem(s); nothing was changed",
    type = ProblemsJson.serializer(),
    value = ProblemsJson(problems.map { ProblemJson(it.file, it.key, it.line, it.message) }),
)

/** The answer where the platform did not answer. */
internal fun unavailable(message: String): Answer = failure(ExitCode.UNAVAILABLE, "unavailable", message)

/** An answer that is only a message. */
internal fun failure(exit: ExitCode, error: String, message: String): Answer =
    Answer.of(exit, listOf(message), FailureJson.serializer(), FailureJson(error, message))

/** Aligns the columns of [rows]; the first row is the header. */
internal fun table(rows: List<List<String>>): List<String> {
    val widths = rows.firstOrNull().orEmpty().indices.map { column -> rows.maxOf { it[column].length } }
    return rows.map { row ->
        row.mapIndexed { i, cell -> cell.padEnd(widths[i]) }.joinToString("  ").trimEnd()
    }
}
