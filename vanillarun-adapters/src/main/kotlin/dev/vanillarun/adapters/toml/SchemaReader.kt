package dev.vanillarun.adapters.toml

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Converts a tree to JSON that matches the descriptor of a serializable class, and reports every mismatch; a decoder
 * would stop at the first. Keys in files are the property names in snake case.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class SchemaReader(private val report: (key: String, message: String, line: Int?) -> Unit) {
    /** Line number of every key read so far. */
    val lines: MutableMap<String, Int> = LinkedHashMap()

    /** Converts [tree] to JSON; a value that does not match is reported and replaced by a placeholder of its type. */
    fun read(descriptor: SerialDescriptor, tree: TomlTree, key: String = ""): JsonElement {
        lines[key] = tree.line
        val type = descriptor.unwrapped()
        if (descriptor.isInline &&
            (tree as? TomlTree.Leaf)?.value == ""
        ) {
            return mismatch(descriptor, key, "has to be a non-empty name", tree)
        }
        return when (type.kind) {
            StructureKind.CLASS, StructureKind.OBJECT -> readClass(type, tree, key)
            StructureKind.LIST -> readList(type, tree, key)
            StructureKind.MAP -> readMap(type, tree, key)
            else -> readLeaf(type, tree, key)
        }
    }

    private fun readClass(type: SerialDescriptor, tree: TomlTree, key: String): JsonElement {
        if (tree !is TomlTree.Table) return mismatch(type, key, "has to be a table", tree)
        val indices = (0 until type.elementsCount).associateBy { tomlKey(type.getElementName(it)) }
        for ((name, child) in tree.entries) {
            if (name !in indices) {
                report(key.child(name), "unknown key; allowed here: ${indices.keys.joinToString()}", child.line)
            }
        }
        for ((name, index) in indices) {
            if (name !in tree.entries && !type.isElementOptional(index)) {
                val expected = describe(type.getElementDescriptor(index).unwrapped())
                report(key.child(name), "is missing; give $expected", tree.line)
            }
        }
        val includedIndices = indices.filter { (name, index) -> name in tree.entries || !type.isElementOptional(index) }
        return JsonObject(
            includedIndices.entries.associate { (name, index) ->
                val element = type.getElementDescriptor(index)
                val child = tree.entries[name]
                type.getElementName(index) to
                    (child?.let { read(element, it, key.child(name)) } ?: placeholder(element))
            },
        )
    }

    private fun readList(type: SerialDescriptor, tree: TomlTree, key: String): JsonElement {
        if (tree !is TomlTree.Items) return mismatch(type, key, "has to be ${describe(type)}", tree)
        val element = type.getElementDescriptor(0)
        return JsonArray(tree.items.mapIndexed { i, item -> read(element, item, "$key[$i]") })
    }

    /** A table with keys that the file chooses. */
    private fun readMap(type: SerialDescriptor, tree: TomlTree, key: String): JsonElement {
        if (tree !is TomlTree.Table) return mismatch(type, key, "has to be a table", tree)
        val element = type.getElementDescriptor(1)
        return JsonObject(tree.entries.mapValues { (name, child) -> read(element, child, key.child(name)) })
    }

    private fun readLeaf(type: SerialDescriptor, tree: TomlTree, key: String): JsonElement {
        val value = (tree as? TomlTree.Leaf)?.value
        if (!matchesType(type, value)) return mismatch(type, key, "has to be ${describe(type)}", tree)
        return when (value) {
            is Boolean -> JsonPrimitive(value)
            is Number -> JsonPrimitive(value)
            else -> JsonPrimitive(value as String)
        }
    }

    private fun matchesType(type: SerialDescriptor, value: Any?): Boolean = when (type.kind) {
        PrimitiveKind.STRING -> value is String
        PrimitiveKind.BOOLEAN -> value is Boolean
        PrimitiveKind.INT -> value is Long && value in Int.MIN_VALUE..Int.MAX_VALUE
        PrimitiveKind.LONG -> value is Long
        PrimitiveKind.DOUBLE -> value is Double || value is Long
        SerialKind.ENUM -> value is String && value in enumNames(type)
        else -> error("unsupported kind in a settings class: ${type.kind}")
    }

    private fun mismatch(type: SerialDescriptor, key: String, message: String, tree: TomlTree): JsonElement {
        val found = when (tree) {
            is TomlTree.Table -> "a table"
            is TomlTree.Items -> "a list"
            is TomlTree.Leaf -> if (tree.value is String) "\"${tree.value}\"" else "${tree.value}"
        }
        report(key, "$message, but is $found", tree.line)
        return placeholder(type)
    }
}

/** Converts the property or serial name [name] to the snake-case key used in files. */
internal fun tomlKey(name: String): String = name.replace(UPPER_CASE_LETTER) { "_" + it.value.lowercase() }

private val UPPER_CASE_LETTER = Regex("[A-Z]")

/** Text for error messages that describes the values that a file may hold for [type]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun describe(type: SerialDescriptor): String = when (type.kind) {
    PrimitiveKind.STRING -> "a string"
    PrimitiveKind.BOOLEAN -> "true or false"
    PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
    PrimitiveKind.DOUBLE -> "a number"
    SerialKind.ENUM -> "one of " + enumNames(type).joinToString { "\"$it\"" }
    StructureKind.LIST -> "a list, each item " + describe(type.getElementDescriptor(0).unwrapped())
    else -> "a table"
}

@OptIn(ExperimentalSerializationApi::class)
private fun enumNames(type: SerialDescriptor): List<String> = (0 until type.elementsCount).map(type::getElementName)

/** The type that a value class wraps, at any depth; this type if it is not a value class. */
@OptIn(ExperimentalSerializationApi::class)
internal fun SerialDescriptor.unwrapped(): SerialDescriptor =
    if (isInline) getElementDescriptor(0).unwrapped() else this

/** A value of [type] that replaces a missing or mismatched one, so that the rest can still be decoded. */
@OptIn(ExperimentalSerializationApi::class)
private fun placeholder(type: SerialDescriptor): JsonElement = when (type.unwrapped().kind) {
    PrimitiveKind.BOOLEAN -> JsonPrimitive(false)

    PrimitiveKind.INT, PrimitiveKind.LONG, PrimitiveKind.DOUBLE -> JsonPrimitive(0)

    SerialKind.ENUM -> JsonPrimitive(enumNames(type.unwrapped()).first())

    StructureKind.LIST -> JsonArray(emptyList())

    StructureKind.MAP -> JsonObject(emptyMap())

    StructureKind.CLASS -> JsonObject(
        (0 until type.elementsCount).filterNot(type::isElementOptional)
            .associate { type.getElementName(it) to placeholder(type.getElementDescriptor(it)) },
    )

    else -> JsonPrimitive(PLACEHOLDER_TEXT)
}

private const val PLACEHOLDER_TEXT = "unreadable"
