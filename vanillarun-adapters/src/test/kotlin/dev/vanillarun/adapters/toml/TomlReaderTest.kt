package dev.vanillarun.adapters.toml

import dev.vanillarun.core.config.RolloutConfig
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.Codepoint
import io.kotest.property.arbitrary.of
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll

class TomlReaderTest :
    DescribeSpec({
        fun read(text: String) = TomlReader.read("f.toml", text, RolloutConfig.serializer())

        fun problems(text: String): List<String> =
            read(text).shouldBeInstanceOf<ReadOutcome.Rejected>().problems.map(Problem::toString)

        describe("a valid file") {
            it("is decoded with nested arrays of tables and the line of each key") {
                val text = """
                    |# the customer
                    |[[customers]]
                    |id = "asl-to"
                    |weight = 3
                    |
                    |[[customers.keys]]
                    |id = "asl-to-1"
                    |sha256 = "00"
                    |
                    |[[customers.keys]]
                    |id = "asl-to-2"
                    |sha256 = "01"
                    |withdrawn = true
                    |
                    |[[customers]]
                    |id = "asl-mi"
                    |max_concurrency = 7
                    |
                    |[[customers.keys]]
                    |id = "asl-mi-1"
                    |sha256 = "02"
                """.trimMargin()
                val outcome = read(text).shouldBeInstanceOf<ReadOutcome.Read<RolloutConfig>>()
                val customers = outcome.value.customers
                customers.map { it.id.value } shouldBe listOf("asl-to", "asl-mi")
                customers[0].keys.map { it.withdrawn } shouldBe listOf(false, true)
                customers[1].maxConcurrency shouldBe 7
                customers[1].keys.map { it.id } shouldBe listOf("asl-mi-1")
                outcome.lines["customers[0].weight"] shouldBe 4
                outcome.lines["customers[0].keys[1].withdrawn"] shouldBe 13
                outcome.lines["customers[1].id"] shouldBe 16
            }
            it("may be empty or contain only comments") {
                read("").shouldBeInstanceOf<ReadOutcome.Read<RolloutConfig>>().value shouldBe RolloutConfig()
                read("# later\n").shouldBeInstanceOf<ReadOutcome.Read<RolloutConfig>>()
            }
        }

        describe("an invalid file") {
            it("is reported with every mismatch and its line") {
                val text = """
                    |[[routes]]
                    |nam = "a"
                    |kind = "modle"
                    |open = "yes"
                    |queue_limit = 99999999999
                """.trimMargin()
                val found = problems(text)
                found.map { it.substringBefore(": ", "") + ": " + it.split(": ")[1] } shouldBe listOf(
                    "f.toml:1: routes[0].name",
                    "f.toml:2: routes[0].nam",
                    "f.toml:3: routes[0].kind",
                    "f.toml:4: routes[0].open",
                    "f.toml:5: routes[0].queue_limit",
                )
                found shouldContain """f.toml:3: routes[0].kind: has to be one of "model", "service", but is "modle""""
            }
            it("is reported with line and key of a syntax error") {
                problems("a = 1\nname = \"x\nb = 2\n").single().substringBefore(": not valid") shouldBe "f.toml:2: name"
            }
            it("is rejected if a key is duplicated") {
                problems("[[targets]]\nid = \"a\"\nid = \"b\"\n").any { "more than once" in it } shouldBe true
            }
            it("never makes the reader throw, whatever the text") {
                val symbols = Arb.of("[]{}=\"'.,#\\ \n-_:+abxTtrue01e9".map { it.code }.toSet().map(::Codepoint))
                checkAll(Arb.string(0, 80)) { read(it) }
                checkAll(Arb.string(0, 60, symbols)) { read(it) }
            }
        }
    })
