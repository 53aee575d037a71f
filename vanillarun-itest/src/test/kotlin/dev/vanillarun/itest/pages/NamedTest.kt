package dev.vanillarun.itest.pages

import java.nio.file.Files
import java.nio.file.Path
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.io.path.name
import kotlin.io.path.readText

/** A test that a page names as `Class/outer/inner`. */
internal data class NamedTest(val className: String, val path: String) {
    companion object {
        private val pattern = Regex("`([A-Z][A-Za-z0-9]*Test)/([^`]+)`")

        fun of(page: String): List<NamedTest> =
            pattern.findAll(page).map { NamedTest(it.groupValues[1], it.groupValues[2]) }.distinct().toList()
    }
}

/** Sources and reports of all modules, as far as this build has made them. */
internal class BuiltTests(private val root: Path) {
    private val modules = Files.list(root).use { all -> all.filter(::isModule).toList() }

    private fun isModule(path: Path): Boolean = path.name.startsWith("vanillarun-") || path.name == "platform"

    /** Why [test] does not hold up; null if it stands in the sources and, where its module was run, passed. */
    fun problem(test: NamedTest): String? {
        val source = source(test.className) ?: return "no source of ${test.className}"
        if (source.readText().let { text -> test.path.split('/').any { "\"$it\"" !in text } }) {
            return "${test.className} has no test '${test.path}'"
        }
        val report = report(test.className) ?: return null
        return if (ranAndPassed(report, test.path)) null else "'${test.path}' did not run or did not pass"
    }

    private fun source(className: String): Path? = modules.firstNotNullOfOrNull { module ->
        val tests = module.resolve("src/test/kotlin").takeIf(Files::isDirectory) ?: return@firstNotNullOfOrNull null
        Files.walk(tests).use { files -> files.filter { it.name == "$className.kt" }.findFirst().orElse(null) }
    }

    private fun report(className: String): Path? = modules.firstNotNullOfOrNull { module ->
        val reports = module.resolve("target/surefire-reports").takeIf(Files::isDirectory)
        reports?.let { folder ->
            Files.list(folder).use { files ->
                files.filter { it.name.startsWith("TEST-") && it.name.endsWith(".$className.xml") }
                    .findFirst()
                    .orElse(null)
            }
        }
    }

    private fun ranAndPassed(report: Path, path: String): Boolean {
        val document = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(report.toFile())
        val cases = document.getElementsByTagName("testcase")
        return (0 until cases.length).map(cases::item).any { case ->
            val children = (0 until case.childNodes.length).map { case.childNodes.item(it).nodeName }
            val bad = children.any { it == "failure" || it == "error" || it == "skipped" }
            case.attributes.getNamedItem("name").nodeValue == path && !bad
        }
    }
}
