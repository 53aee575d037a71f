package dev.vanillarun.adapters.commandline

import kotlinx.cli.ArgType
import kotlinx.cli.ParsingException
import java.nio.file.Path

/** This type for a positional argument: a value that begins with a dash is rejected as an unknown option. */
public fun <T : Any> ArgType<T>.asArgument(): ArgType<T> = PositionalArgument(this)

/** Type of a positional argument that names a file or directory; rejects values that begin with a dash. */
public object PathArgument : ArgType<Path>(hasParameter = true) {
    override val description: kotlin.String get() = "{ Path }"

    override fun convert(value: kotlin.String, name: kotlin.String): Path {
        if (value.startsWith(OPTION_PREFIX)) {
            throw ParsingException("Unknown option $value; for a file of that name, write ./$value")
        }
        return Path.of(value)
    }
}

private class PositionalArgument<T : Any>(private val type: ArgType<T>) : ArgType<T>(hasParameter = true) {
    override val description: kotlin.String get() = type.description

    override fun convert(value: kotlin.String, name: kotlin.String): T {
        if (value.startsWith(OPTION_PREFIX)) throw ParsingException("Unknown option $value")
        return type.convert(value, name)
    }
}

private const val OPTION_PREFIX = "-"
