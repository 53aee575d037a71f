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
        fun wrong(vararg args: String): String =
            Example().read(*args).shouldBeInstanceOf<CommandLineResult.Wrong>().message

        describe("a command line") {
            it("gives options and arguments their values") {
                val example = Example()
                example.read("--port", "7", "a.toml", "--name", "n") shouldBe CommandLineResult.Parsed
                listOf(example.port, example.name, example.files) shouldBe listOf(7, "n", listOf(Path.of("a.toml")))
            }
            it("that asks for help gets the usage") {
                Example().read("--help").shouldBeInstanceOf<CommandLineResult.Help>().usage shouldContain "--port"
            }
            it("says which option is unknown, beside arguments that take any number of words too") {
                wrong("--name", "n", "a", "--bogus", "a") shouldStartWith "Unknown option --bogus"
                wrong("--name", "n", "--bogus") shouldStartWith "Unknown option --bogus"
                shouldThrow<ParsingException> { PathArgument.convert("--bogus", "FILE") }
                    .message shouldBe "Unknown option --bogus; a file of that name is ./--bogus"
                shouldThrow<ParsingException> { ArgType.String.asArgument().convert("-x", "NAME") }
            }
            it("says which option is wrong or missing, and shows the usage") {
                wrong("--name", "n", "--port", "x", "a") shouldContain "port"
                wrong("a") shouldContain "name"
                wrong("--name", "n") shouldContain "FILE"
                wrong("a") shouldContain "Usage: example"
            }
        }
    })
