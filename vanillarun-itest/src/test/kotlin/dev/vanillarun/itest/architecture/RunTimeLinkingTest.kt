package dev.vanillarun.itest.architecture

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.readBytes
import kotlin.io.path.walk

/** Bootstrap methods that each process runs for each of their call sites; no archive of classes holds the result. */
private val linkedAtRunTime = listOf("java/lang/invoke/StringConcatFactory", "java/lang/invoke/LambdaMetafactory")

private fun classesOf(module: String): List<Path> =
    Path.of("..", module, "target", "classes").walk().filter { it.extension == "class" }.toList()

private fun Path.isLinkedAtRunTime(): Boolean =
    readBytes().toString(Charsets.ISO_8859_1).let { code -> linkedAtRunTime.any { it in code } }

class RunTimeLinkingTest :
    DescribeSpec({
        // Guards against starts that spend a fifth of their processor time on lambdas and string templates.
        describe("a class that an instance loads") {
            listOf("core", "adapters", "daemon", "hosted").map { "vanillarun-$it" }.plus("platform").forEach { module ->
                it("has nothing to link at run time in $module") {
                    val classes = classesOf(module)
                    classes.shouldNotBeEmpty()
                    classes.filter { it.isLinkedAtRunTime() }.shouldBeEmpty()
                }
            }
        }
    })
