package dev.vanillarun.adapters.config

import dev.vanillarun.adapters.settings.DaemonSettings
import dev.vanillarun.adapters.settings.SettingsReader
import dev.vanillarun.adapters.toml.ReadOutcome
import dev.vanillarun.core.config.Customer
import dev.vanillarun.core.config.CustomerKey
import dev.vanillarun.core.config.PriorityClass
import dev.vanillarun.core.config.RolloutConfig
import dev.vanillarun.core.config.Route
import dev.vanillarun.core.config.RouteKind
import dev.vanillarun.core.config.SpendingRule
import dev.vanillarun.core.config.Target
import dev.vanillarun.core.config.TargetKind
import dev.vanillarun.core.id.CustomerId
import dev.vanillarun.core.id.RouteName
import dev.vanillarun.core.id.TargetId
import dev.vanillarun.core.zone.DataCentre
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.nio.file.Files
import java.nio.file.Path

/** A key with its type and default, as in the document; read from it or derived from the serializable classes. */
private data class DocumentedKey(val key: String, val type: String, val default: String)

private class DocumentRow(cells: List<String>) {
    val key = cells[0].trim('`')
    val documentedKey = DocumentedKey(key, cells[1], cells[3].replace("`", ""))
    val range = Regex("""(\d+) to (\d+)""").matchEntire(cells[4])
        ?.destructured?.let { (first, last) -> first.toLong()..last.toLong() }
}

private class KeyCollector(private val defaultValue: (String) -> JsonElement?) {
    val keys = mutableListOf<DocumentedKey>()

    fun visit(type: SerialDescriptor, path: String = "") {
        for (i in 0 until type.elementsCount) {
            val name = type.getElementName(i).replace(Regex("[A-Z]")) { "_" + it.value.lowercase() }
            val key = if (path.isEmpty()) name else "$path.$name"
            val element = unwrap(type.getElementDescriptor(i))
            val item = if (element.kind == StructureKind.LIST) unwrap(element.getElementDescriptor(0)) else null
            when {
                element.kind == StructureKind.CLASS -> visit(element, key)
                item?.kind == StructureKind.CLASS -> visit(item, "$key[]")
                else -> keys += DocumentedKey(key, typeOf(element), defaultOf(key, type.isElementOptional(i)))
            }
        }
    }

    private fun unwrap(type: SerialDescriptor): SerialDescriptor =
        if (type.isInline) unwrap(type.getElementDescriptor(0)) else type

    private fun typeOf(type: SerialDescriptor): String = when (type.kind) {
        PrimitiveKind.STRING -> "string"
        PrimitiveKind.BOOLEAN -> "boolean"
        PrimitiveKind.INT, PrimitiveKind.LONG -> "whole number"
        SerialKind.ENUM -> "choice"
        StructureKind.LIST -> "list of " + typeOf(unwrap(type.getElementDescriptor(0)))
        else -> error("undocumented kind ${type.kind}")
    }

    private fun defaultOf(key: String, isOptional: Boolean): String {
        if (!isOptional) return "required"
        return when (val value = defaultValue(key)) {
            is JsonArray -> value.joinToString { (it as JsonPrimitive).content }.ifEmpty { "empty" }
            is JsonPrimitive -> value.content.ifEmpty { "empty" }
            else -> error("no default for $key")
        }
    }
}

private val json = Json { encodeDefaults = true }

private fun <T> defaults(type: KSerializer<T>, value: T): (String) -> JsonElement? = { key ->
    key.replace("[]", "").split('.').fold(json.encodeToJsonElement(type, value)) { tree: JsonElement?, name ->
        val table = ((tree as? JsonArray)?.first() ?: tree) as? JsonObject
        table?.entries?.first { it.key.replace(Regex("[A-Z]")) { "_" + it.value.lowercase() } == name }?.value
    }
}

private val minimalConfig = RolloutConfig(
    customers = listOf(Customer(CustomerId("a"), keys = listOf(CustomerKey("k", "0")))),
    routes = listOf(Route(RouteName("r"), RouteKind.MODEL)),
    targets = listOf(Target(TargetId("t"), TargetKind.ENGINE, "x", DataCentre("z"), emptyList())),
    priorities = listOf(PriorityClass("p")),
    spending = listOf(SpendingRule(RouteName("r"), DataCentre("z"), 0, 0)),
)

class ConfigDocumentTest :
    DescribeSpec({
        val page = Files.readAllLines(Path.of("..", "docs", "CONFIG.md"))
        val (settings, config) = page.indexOf("## Configuration").let { listOf(page.take(it), page.drop(it)) }
            .map { section -> section.filter { it.startsWith("| `") } }
            .map { lines -> lines.map { DocumentRow(it.trim('|', ' ').split("|").map(String::trim)) } }
        val rows = settings + config

        it("lists every key of the settings with its type and default") {
            val collector = KeyCollector(defaults(DaemonSettings.serializer(), DaemonSettings("a", "b", "c")))
            collector.visit(DaemonSettings.serializer().descriptor)
            settings.map { it.documentedKey }.toSet() shouldBe collector.keys.toSet()
        }
        it("lists every key of the configuration with its type and default") {
            val collector = KeyCollector(defaults(RolloutConfig.serializer(), minimalConfig))
            collector.visit(RolloutConfig.serializer().descriptor)
            config.map { it.documentedKey }.toSet() shouldBe collector.keys.toSet()
        }
        it("gives a range for every number") {
            rows.filter { it.documentedKey.type == "whole number" && it.range == null }.map { it.key } shouldBe
                emptyList()
        }
        it("gives the ranges that the settings are validated against") {
            val base = "instance = \"a\"\ndata_centre = \"b\"\nplatform = \"http://10.0.0.1:1\"\n"
            for (row in settings.filter { it.range != null }) {
                val (table, key) = row.key.split('.')
                checkRange(row) { value ->
                    when (val outcome = SettingsReader.read("f", "$base[$table]\n$key = $value\n")) {
                        is ReadOutcome.Read -> emptyList()

                        is ReadOutcome.Rejected -> outcome.problems.filter {
                            "lie between" in it.message
                        }.map { it.key }
                    }
                }
            }
        }
        it("gives the ranges that the configuration is validated against") {
            for (row in config.filter { it.range != null }) {
                val (list, key) = row.key.split("[].")
                checkRange(row) { value ->
                    val others = mapOf(
                        "customers" to "id = \"a\"",
                        "routes" to "name = \"a\"\nkind = \"model\"",
                        "targets" to "id = \"a\"\nkind = \"engine\"\naddress = \"\"\ndata_centre = \"a\"\nroutes = []",
                        "priorities" to "name = \"a\"",
                        "spending" to "route = \"a\"\ndata_centre = \"a\"\n" +
                            if (key == "floor") "ceiling = 10000" else "floor = 0",
                    ).getValue(list)
                    val text = "[[$list]]\n$others\n$key = $value\n"
                    when (val outcome = ConfigCollector.merge(listOf(ConfigFile("f", text)))) {
                        is ReadOutcome.Read -> emptyList()

                        is ReadOutcome.Rejected ->
                            outcome.problems.filter { "lie between" in it.message }.map { it.key.replace("[0]", "[]") }
                    }
                }
            }
        }
    })

private fun checkRange(row: DocumentRow, problemKeysFor: (Long) -> List<String>) {
    val range = checkNotNull(row.range)
    withClue(row.key) {
        problemKeysFor(range.first) shouldNotContain row.key
        problemKeysFor(range.last) shouldNotContain row.key
        problemKeysFor(range.first - 1) shouldContain row.key
        problemKeysFor(range.last + 1) shouldContain row.key
    }
}
