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

/** One short file of the configuration. */
public data class ConfigFile(
    /** Name that problems show. */
    public val name: String,
    /** Content. */
    public val text: String,
)

/** A valid configuration and the files it was collected from. */
public data class CollectedConfig(
    /** The whole configuration. */
    public val config: RolloutConfig,
    /** Names of the files, in the order in which they were put together. */
    public val files: List<String>,
)

/**
 * Collects the short files that services keep beside their code into one configuration.
 *
 * ```
 * when (val outcome = ConfigCollector.collect(listOf(Path.of("examples/ferraresi")))) {
 *     is ReadOutcome.Read -> outcome.value.config
 *     is ReadOutcome.Rejected -> outcome.problems.forEach(::println)
 * }
 * ```
 */
public object ConfigCollector {
    /** End of the names of files that are collected. */
    public const val SUFFIX: String = ".vanillarun.toml"

    private const val WHOLE_FILE = "(whole file)"

    /** Collects every file below [paths] whose name ends in [SUFFIX], and every file that [paths] names itself. */
    public fun collect(paths: List<Path>): ReadOutcome<CollectedConfig> {
        val problems = mutableListOf<Problem>()
        val files = paths.flatMap { find(it, problems) }.distinct().mapNotNull { load(it, problems) }
        if (problems.isNotEmpty()) return ReadOutcome.Rejected(problems)
        return merge(files)
    }

    /** Puts [files] together and checks the whole. */
    public fun merge(files: List<ConfigFile>): ReadOutcome<CollectedConfig> {
        val drafts = files.associate { it.name to TomlReader.draft(it.name, it.text, RolloutConfig.serializer()) }
        val places = SourceMap()
        val config = drafts.entries.fold(RolloutConfig()) { whole, (name, draft) ->
            val part = draft.value ?: RolloutConfig()
            places.add(name, draft.lines, whole, part)
            whole + part
        }
        val misfits = drafts.values.flatMap { it.problems }
        val wrong = ConfigValidator.validate(config)
            .filterNot { it.refersElsewhere && misfits.isNotEmpty() }
            .map(places::locate)
            .filterNot { drafts[it.file]?.doubts(it.key) == true }
        val problems = misfits + places.splitPriorities() + wrong
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
    )
}
