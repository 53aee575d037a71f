package dev.vanillarun.adapters.settings

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.adapters.toml.TomlReader
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Settings given by command-line flags; a value that is not null overrides the one in the file. */
public data class SettingsFlags(
    /** Overrides `instance`. */
    public val instance: String? = null,
    /** Overrides `data_centre`. */
    public val dataCentre: String? = null,
    /** Overrides `platform`. */
    public val platform: String? = null,
    /** Overrides `caller_address`. */
    public val callerAddress: String? = null,
    /** Overrides `admin_address`. */
    public val adminAddress: String? = null,
    /** Overrides `peer_address`. */
    public val peerAddress: String? = null,
) {
    internal fun byKey(): Map<String, String> = listOf(
        "instance" to instance,
        "data_centre" to dataCentre,
        "platform" to platform,
        "caller_address" to callerAddress,
        "admin_address" to adminAddress,
        "peer_address" to peerAddress,
    ).mapNotNull { (key, value) -> value?.let { key to it } }.toMap()
}

/**
 * Reads the settings of a daemon from one TOML file and the command line, and reports all problems.
 *
 * ```
 * val outcome = SettingsReader.read(Path.of("torino-1.toml"), SettingsFlags(platform = "http://127.0.0.1:7000"))
 * ```
 */
public object SettingsReader {
    private const val FLAGS = "flags"

    /** Reads [file], or only [flags] if it is null; flags override the file. */
    public fun read(file: Path?, flags: SettingsFlags = SettingsFlags()): ReadOutcome<DaemonSettings> {
        if (file == null) return withoutLines(read(FLAGS, "", flags))
        return try {
            read(file.toString(), Files.readString(file), flags)
        } catch (e: IOException) {
            val reason = e::class.simpleName
            ReadOutcome.Rejected(
                listOf(Problem("$file", "(whole file)", "cannot be read ($reason); check path and mode")),
            )
        }
    }

    private fun withoutLines(outcome: ReadOutcome<DaemonSettings>): ReadOutcome<DaemonSettings> = when (outcome) {
        is ReadOutcome.Read -> outcome
        is ReadOutcome.Rejected -> ReadOutcome.Rejected(outcome.problems.map { it.copy(line = null) })
    }

    /** Reads [text], overridden by [flags]; problems name [file] or `flags` as their source. */
    public fun read(file: String, text: String, flags: SettingsFlags = SettingsFlags()): ReadOutcome<DaemonSettings> {
        val flagValues = flags.byKey()
        val partial = TomlReader.readPartially(file, text, DaemonSettings.serializer(), flagValues)
        val settings = partial.value ?: return ReadOutcome.Rejected(partial.problems)
        val invalid = SettingsValidator.validate(settings).filterNot { partial.isInvalid(it.key) }.map {
            val source = if (it.key in flagValues) FLAGS else file
            Problem(
                source,
                it.key,
                it.message,
                partial.lines[it.key]?.takeIf { _ -> source == file && it.key !in flagValues },
            )
        }
        val problems = partial.problems + invalid
        return if (problems.isEmpty()) ReadOutcome.Read(settings, partial.lines) else ReadOutcome.Rejected(problems)
    }
}
