package dev.vanillarun.adapters.commandline

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ParsingException
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.cli.vararg
import java.nio.file.Path

private class Example {
    val parser = ArgParser("example")
    val port by parser.option(ArgType.Int, "port", description = "Port").default(0)
    val name by parser.option(ArgType.String, "name", description = "Name").required()
    val files by parser.argument(PathArgument, "FILE").vararg()

    fun read(vararg args: String) = parser.read(arrayOf(*args))
}

class CommandLineTest :
    DescribeSpec({
        fun errorFor(vararg args: String): String =
            Example().read(*args).shouldBeInstanceOf<CommandLineResult.Invalid>().message

        describe("a command line") {
            it("sets the values of options and arguments") {
                val example = Example()
                example.read("--port", "7", "a.toml", "--name", "n") shouldBe CommandLineResult.Parsed
                listOf(example.port, example.name, example.files) shouldBe listOf(7, "n", listOf(Path.of("a.toml")))
            }
            it("returns the usage for --help") {
                Example().read("--help").shouldBeInstanceOf<CommandLineResult.Help>().usage shouldContain "--port"
            }
            it("reports an unknown option, also where an argument accepts any number of values") {
                errorFor("--name", "n", "a", "--bogus", "a") shouldStartWith "Unknown option --bogus"
                errorFor("--name", "n", "--bogus") shouldStartWith "Unknown option --bogus"
                shouldThrow<ParsingException> { PathArgument.convert("--bogus", "FILE") }
                    .message shouldBe "Unknown option --bogus; for a file of that name, write ./--bogus"
                shouldThrow<ParsingException> { ArgType.String.asArgument().convert("-x", "NAME") }
            }
            it("reports an invalid or missing option or argument with the usage") {
                errorFor("--name", "n", "--port", "x", "a") shouldContain "port"
                errorFor("a") shouldContain "name"
                errorFor("--name", "n") shouldContain "FILE"
                errorFor("a") shouldContain "Usage: example"
            }
        }
    })
