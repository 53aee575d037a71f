package dev.vanillarun.standin.demo

import dev.vanillarun.adapters.commandline.readOrExit
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import java.io.File
import java.nio.file.Files
import kotlin.concurrent.thread
import kotlin.system.exitProcess

private const val DEFAULT_STEPS = 12

/** Runs the demo, prints its table and ends with 0 only if every count that must be zero is zero. */
public fun main(args: Array<String>) {
    val parser = ArgParser("demo")
    val root by parser.option(ArgType.String, "root", description = "root of the build").required()
    val steps by parser.option(ArgType.Int, "steps", description = "steps of the trainer").default(DEFAULT_STEPS)
    val faults by parser.option(ArgType.Boolean, "faults", description = "also switch faults on").default(false)
    parser.readOrExit(args)
    val directory = Files.createTempDirectory("vanillarun-demo").toFile()
    println("demo: files are in $directory")
    val demo = Demo(DemoSettings(File(root), directory, steps, faults = faults))
    Runtime.getRuntime().addShutdownHook(thread(start = false) { demo.close() })
    val report = runBlocking { demo.run() }
    println(report.table())
    println(if (report.passed) "demo: passed" else "demo: FAILED")
    exitProcess(if (report.passed) 0 else 1)
}
