package dev.vanillarun.itest.architecture

import dev.vanillarun.daemon.caller.ErrorType
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.io.path.walk

class OperatingPageTest :
    DescribeSpec({
        val page = Path.of("..", "docs", "OPERATIONS.md").readLines()

        it("explains every refusal with its status") {
            ErrorType.entries
                .filterNot { type -> page.any { it.startsWith("| `${type.wire}` | ${type.status.value} |") } }
                .shouldBeEmpty()
        }
        it("explains every metric of the daemon") {
            val name = Regex("\"(vanillarun_[a-z_]+)\"")
            val metrics = Path.of("..", "vanillarun-daemon", "src", "main", "kotlin").walk()
                .filter { it.extension == "kt" }
                .flatMap { file -> name.findAll(file.readText()).map { it.groupValues[1] } }
                .toSet()
            metrics.shouldNotBeEmpty()
            metrics.filterNot { metric -> page.any { it.startsWith("| `$metric`") } }.shouldBeEmpty()
        }
    })
