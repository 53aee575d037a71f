package dev.vanillarun.adapters.config

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.adapters.toml.TomlReader
import dev.vanillarun.core.config.ConfigValidator
import dev.vanillarun.core.config.RolloutConfig
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.isDirectory
import kotlin.io.path.name
import kotlin.io.path.walk

/** One TOML file that holds a part of the configuration. */
public data class ConfigFile(
    /** Path or other name by which reported problems refer to the file. */
    public val name: String,
    /** TOML source. */
    public val text: String,
)

/** A valid configuration and the files that it was merged from. */
public data class CollectedConfig(
    /** Configuration merged from all files. */
    public val config: RolloutConfig,
    /** Names of the files, in merge order. */
    public val files: List<String>,
)

/**
 * Merges the configuration files that services keep next to their code into one configuration.
 *
 * ```
 * when (val outcome = ConfigCollector.collect(listOf(Path.of("examples/ferraresi")))) {
 *     is ReadOutcome.Read -> outcome.value.config
 *     is ReadOutcome.Rejected -> outcome.problems.forEach(::println)
 * }
 * ```
 */
public object ConfigCollector {
    /** Suffix of the file names that are collected from a directory. */
    public const val SUFFIX: String = ".vanillarun.toml"

    private const val WHOLE_FILE = "(whole file)"

    /**
     * Reads and merges the files at [paths]. A path to a file is read whatever its name; a directory is searched
     * recursively for names that end in [SUFFIX], and it is a problem if it has none.
     */
    public fun collect(paths: List<Path>): ReadOutcome<CollectedConfig> {
        val problems = mutableListOf<Problem>()
        val files = paths.flatMap { find(it, problems) }.distinct().mapNotNull { load(it, problems) }
        if (problems.isNotEmpty()) return ReadOutcome.Rejected(problems)
        return merge(files)
    }

    /** Merges [files] in the given order and validates the result; reports the problems of all files. */
    public fun merge(files: List<ConfigFile>): ReadOutcome<CollectedConfig> {
        val partialReads = files.associate {
            it.name to TomlReader.readPartially(it.name, it.text, RolloutConfig.serializer())
        }
        val sourceMap = SourceMap()
        val config = partialReads.entries.fold(RolloutConfig()) { whole, (name, partialRead) ->
            val part = partialRead.value ?: RolloutConfig()
            sourceMap.add(name, partialRead.lines, whole, part)
            whole + part
        }
        val readProblems = partialReads.values.flatMap { it.problems }
        val validationProblems = ConfigValidator.validate(config)
            .filterNot { it.isReference && readProblems.isNotEmpty() }
            .map(sourceMap::locate)
            .filterNot { partialReads[it.file]?.isInvalid(it.key) == true }
        val problems = readProblems + sourceMap.duplicatePriorityLists() + validationProblems
        if (problems.isNotEmpty()) return ReadOutcome.Rejected(problems)
        return ReadOutcome.Read(CollectedConfig(config, files.map { it.name }))
    }

    private fun find(path: Path, problems: MutableList<Problem>): List<Path> {
        if (!path.isDirectory()) return listOf(path)
        val found = path.walk().filter { it.name.endsWith(SUFFIX) }.sorted().toList()
        if (found.isEmpty()) problems += Problem("$path", WHOLE_FILE, "holds no file whose name ends in $SUFFIX")
        return found
    }

    private fun load(path: Path, problems: MutableList<Problem>): ConfigFile? = try {
        ConfigFile("$path", Files.readString(path))
    } catch (e: IOException) {
        problems += Problem("$path", WHOLE_FILE, "cannot be read (${e::class.simpleName}); check path and mode")
        null
    }

    private operator fun RolloutConfig.plus(other: RolloutConfig) = RolloutConfig(
        customers = customers + other.customers,
        routes = routes + other.routes,
        targets = targets + other.targets,
        priorities = priorities + other.priorities,
        spending = spending + other.spending,
        evacuated = evacuated + other.evacuated,
    )
}
