package dev.vanillarun.adapters.toml

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.exceptions.TomlDecodingException
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TableType
import com.akuleshov7.ktoml.tree.nodes.TomlArrayOfTablesElement
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlStubEmptyNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlArray
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue

/** Parsed TOML in which every node has its line number. */
internal sealed interface TomlTree {
    val line: Int

    data class Leaf(val value: Any, override val line: Int) : TomlTree

    data class Items(val items: List<TomlTree>, override val line: Int) : TomlTree

    data class Table(val entries: Map<String, TomlTree>, override val line: Int) : TomlTree
}

/** Parses [text] and passes syntax errors and duplicate keys to [report]. Null after a syntax error. */
internal fun parseToml(text: String, report: (key: String, message: String, line: Int?) -> Unit): TomlTree.Table? =
    when (val parsed = parseNodes(text)) {
        is ParseResult.Success -> TreeBuilder(report).table(parsed.nodes, line = 1, path = "")

        is ParseResult.Failure -> {
            val line = parsed.line ?: firstBadLine(text)
            report(keyAt(text, line), "not valid TOML: ${parsed.reason}", line)
            null
        }
    }

private sealed interface ParseResult {
    data class Success(val nodes: List<TomlNode>) : ParseResult

    data class Failure(val reason: String, val line: Int?) : ParseResult
}

/** ktoml throws its own exception for some syntax errors, and fails with an internal error on others. */
private fun parseNodes(text: String): ParseResult = try {
    ParseResult.Success(TomlParser(TomlInputConfig()).parseString(text).children)
} catch (e: TomlDecodingException) {
    val message = e.message.orEmpty()
    val line = LINE_NUMBER.find(message)?.groupValues?.get(1)?.toIntOrNull()
    ParseResult.Failure(message.substringAfter(": ").substringBefore('\n'), line)
} catch (_: IllegalArgumentException) {
    UNREADABLE_LINE
} catch (_: IllegalStateException) {
    UNREADABLE_LINE
} catch (_: IndexOutOfBoundsException) {
    UNREADABLE_LINE
} catch (_: NoSuchElementException) {
    UNREADABLE_LINE
} catch (_: ClassCastException) {
    UNREADABLE_LINE
} catch (_: StackOverflowError) {
    UNREADABLE_LINE
}

private val UNREADABLE_LINE = ParseResult.Failure("this line cannot be read as `key = value` or `[table]`", line = null)
private val LINE_NUMBER = Regex("""Line (\d+)""")

/** Number of the first line up to which the text does not parse. */
private fun firstBadLine(text: String): Int {
    val lines = text.lines()
    return (1..lines.size).first { count -> parseNodes(lines.take(count).joinToString("\n")) is ParseResult.Failure }
}

private fun keyAt(text: String, line: Int?): String {
    val content = line?.let { text.lines().getOrNull(it - 1) } ?: return "(whole file)"
    return content.substringBefore('=').trim().ifEmpty { "(empty line)" }
}

private class TreeBuilder(private val report: (String, String, Int?) -> Unit) {
    fun table(nodes: List<TomlNode>, line: Int, path: String): TomlTree.Table {
        val entries = LinkedHashMap<String, TomlTree>()
        for (node in nodes.filterNot { it is TomlStubEmptyNode }) {
            val name = nameOf(node)
            val key = path.child(name)
            val existing = tree(node, key)?.let { entries.putIfAbsent(name, it) }
            if (existing != null) report(key, "this key is given more than once; keep one of them", node.lineNo)
        }
        return TomlTree.Table(entries, line)
    }

    private fun nameOf(node: TomlNode): String {
        val name = when (node) {
            is TomlKeyValuePrimitive -> node.key.last()
            is TomlKeyValueArray -> node.key.last()
            else -> node.name
        }
        return name.trim('"', '\'')
    }

    private fun tree(node: TomlNode, key: String): TomlTree? = when (node) {
        is TomlKeyValuePrimitive -> value(node.value, node.lineNo)

        is TomlKeyValueArray -> value(node.value, node.lineNo)

        is TomlTable -> if (node.type ==
            TableType.ARRAY
        ) {
            elements(node, key)
        } else {
            table(node.children, node.lineNo, key)
        }

        else -> null
    }

    private fun elements(node: TomlTable, key: String) = TomlTree.Items(
        node.children.filterIsInstance<TomlArrayOfTablesElement>()
            .mapIndexed { i, element -> table(element.children, element.lineNo, "$key[$i]") },
        node.lineNo,
    )

    private fun value(value: TomlValue, line: Int): TomlTree = when (value) {
        is TomlArray -> TomlTree.Items(
            (value.content as? List<*>).orEmpty().filterIsInstance<TomlValue>().map { value(it, line) },
            line,
        )

        else -> TomlTree.Leaf(value.content, line)
    }
}

/** Path of the key [name] below this path; an empty path is the top level. */
internal fun String.child(name: String): String = if (isEmpty()) name else "$this.$name"
