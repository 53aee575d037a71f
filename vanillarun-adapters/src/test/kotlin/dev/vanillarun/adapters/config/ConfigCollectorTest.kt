package dev.vanillarun.adapters.config

import dev.vanillarun.adapters.toml.Problem
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.key.KeyIndex
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

private const val VALID_FILE = """
[[priorities]]
name = "live"

[[customers]]
id = "nurses"

[[customers.keys]]
id = "nurses-1"
sha256 = "b3a8e0e1f9ab1bfe3a36f231f676f78bb30a519d2b21e6c530c0eee8ebb4a5d0"

[[routes]]
name = "loans"
kind = "service"
path = "/loans"

[[targets]]
id = "loans-1"
kind = "service"
address = "http://10.0.0.1:9000"
data_centre = "torino"
routes = ["loans"]
credential = "c"
"""

/** A customer's TOML table with random values, paired with the expected values. */
private val customerTables = arbitrary {
    val weight = Arb.int(1, 10_000).bind()
    val concurrency = Arb.int(1, 100_000).bind()
    val rate = Arb.long(0, 1_000_000_000).bind()
    val number = Arb.int(0, 99).bind()
    val text = "[[customers]]\nid = \"c$number\"\nweight = $weight\nmax_concurrency = $concurrency\n" +
        "tokens_per_second = $rate\n"
    text to listOf("c$number", "$weight", "$concurrency", "$rate")
}

class ConfigCollectorTest :
    DescribeSpec({
        fun merge(vararg texts: String) =
            ConfigCollector.merge(texts.mapIndexed { i, text -> ConfigFile("f$i.vanillarun.toml", text) })

        fun problems(vararg texts: String): List<Problem> =
            merge(*texts).shouldBeInstanceOf<ReadOutcome.Rejected>().problems

        describe("valid files") {
            it("are merged in order") {
                val more = "[[customers]]\nid = \"families\"\n"
                val collected = merge(VALID_FILE, more).shouldBeInstanceOf<ReadOutcome.Read<CollectedConfig>>().value
                collected.config.customers.map { it.id.value } shouldBe listOf("nurses", "families")
                collected.config.routes.single().kind shouldBe RouteKind.SERVICE
                collected.files shouldBe listOf("f0.vanillarun.toml", "f1.vanillarun.toml")
            }
            it("keep the written values") {
                checkAll(customerTables) { (text, expected) ->
                    val config = merge(VALID_FILE, text)
                        .shouldBeInstanceOf<ReadOutcome.Read<CollectedConfig>>().value.config
                    val customer = config.customers.last()
                    val found =
                        listOf(customer.id.value, customer.weight, customer.maxConcurrency, customer.tokensPerSecond)
                    found.map { "$it" } shouldBe expected
                }
            }
            it("are found recursively by their suffix") {
                val dir = tempdir().toPath()
                val service = dir.resolve("loans").createDirectories()
                service.resolve("loans.vanillarun.toml").writeText(VALID_FILE)
                service.resolve("other.toml").writeText("not = toml = at all")
                ConfigCollector.collect(listOf(dir)).shouldBeInstanceOf<ReadOutcome.Read<CollectedConfig>>()
            }
        }

        describe("an invalid file") {
            listOf(
                InvalidFile("unclosed string", VALID_FILE + "x = \"a\n", "x"),
                InvalidFile("unknown key", VALID_FILE.replace("path =", "paht ="), "routes[0].paht"),
                InvalidFile(
                    "missing key",
                    VALID_FILE.replace("address = \"http://10.0.0.1:9000\"\n", ""),
                    "targets[0].address",
                ),
                InvalidFile("wrong type", VALID_FILE.replace("\"/loans\"", "7"), "routes[0].path"),
                InvalidFile("unknown kind", VALID_FILE.replaceFirst("\"service\"", "\"srevice\""), "routes[0].kind"),
                InvalidFile("out of range", VALID_FILE + "concurrency = 0\n", "targets[0].concurrency"),
                InvalidFile(
                    "key hash",
                    VALID_FILE.replace("sha256 = \"b3", "sha256 = \"B3"),
                    "customers[0].keys[0].sha256",
                ),
                InvalidFile(
                    "dangling reference",
                    VALID_FILE.replace("[\"loans\"]", "[\"loan\"]"),
                    "targets[0].routes[0]",
                ),
                InvalidFile(
                    "credential is a key",
                    VALID_FILE.replace("\"c\"", "\"hello\"").withKeyOf("hello"),
                    "targets[0].credential",
                ),
                InvalidFile("address", VALID_FILE.replace("10.0.0.1", "loans.example"), "targets[0].address"),
                InvalidFile("empty name", VALID_FILE.replace("\"torino\"", "\"\""), "targets[0].data_centre"),
                InvalidFile("unknown class", VALID_FILE.replace("\"live\"", "\"life\""), "routes[0].priority"),
                InvalidFile("repeated key", VALID_FILE + "credential = \"d\"\n", "targets[0].credential"),
            ).forEach { invalid ->
                it("is reported with file, key and line: ${invalid.kind}") {
                    val found = problems(invalid.text)
                    found.map { it.key } shouldContain invalid.key
                    val problem = found.first { it.key == invalid.key }
                    problem.file shouldBe "f0.vanillarun.toml"
                    problem.line shouldNotBe null
                }
            }
            it("is reported with the problems of other files, but without consequential errors") {
                val mismatch = VALID_FILE.replace("name = \"loans\"", "name = 7")
                val outOfRange = "[[customers]]\nid = \"families\"\nweight = 0\n"
                problems(mismatch, outOfRange, "x = \"a\n").map { it.file to it.key } shouldBe listOf(
                    "f0.vanillarun.toml" to "routes[0].name",
                    "f2.vanillarun.toml" to "x",
                    "f1.vanillarun.toml" to "customers[0].weight",
                )
            }
            it("is reported by its own name and key indices among other files") {
                val duplicate = "[[customers]]\nid = \"nurses\"\n"
                problems(VALID_FILE, duplicate).single() shouldBe Problem(
                    file = "f1.vanillarun.toml",
                    key = "customers[0].id",
                    message = "\"nurses\" is already taken by customers[0].id in f0.vanillarun.toml; give another",
                    line = 2,
                )
            }
            it("is rejected if another file lists priorities too") {
                problems(VALID_FILE, "[[priorities]]\nname = \"sync\"\n").map { it.file to it.key } shouldBe
                    listOf("f1.vanillarun.toml" to "priorities")
            }
        }

        describe("a directory") {
            it("is a problem if it has no matching file or does not exist") {
                ConfigCollector.collect(listOf(tempdir().toPath(), Path.of("no/such")))
                    .shouldBeInstanceOf<ReadOutcome.Rejected>().problems.size shouldBe 2
            }
        }
    })

private class InvalidFile(val kind: String, val text: String, val key: String)

private fun String.withKeyOf(secret: String): String =
    replace("b3a8e0e1f9ab1bfe3a36f231f676f78bb30a519d2b21e6c530c0eee8ebb4a5d0", KeyIndex.hexOf(secret))
