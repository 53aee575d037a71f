package dev.vanillarun.standin.demo

import dev.vanillarun.standin.http.wireJson
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.File
import java.util.concurrent.TimeUnit

/** A process of the demo; its output goes into files of [directory]. */
internal class DemoProcess(val name: String, command: List<String>, private val directory: File) {
    private val out = File(directory, "$name.out")
    private val process: Process =
        ProcessBuilder(command)
            .redirectOutput(out)
            .redirectError(File(directory, "$name.err"))
            .start()

    val alive: Boolean get() = process.isAlive

    /** Waits for the line that tells the address. */
    fun address(): String {
        val line = awaitLine { "\"listening\"" in it }
        return wireJson.parseToJsonElement(line).jsonObject.getValue("address").jsonPrimitive.content
    }

    /** Waits for the end and returns the last line of output. */
    fun summary(withinSeconds: Long): String {
        check(process.waitFor(withinSeconds, TimeUnit.SECONDS)) { "$name did not end in $withinSeconds s" }
        check(process.exitValue() == 0) { "$name ended with ${process.exitValue()}, see $directory/$name.err" }
        return out.readLines().last(String::isNotBlank)
    }

    /** Ends the process without warning (SIGKILL). */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Asks the process to stop (SIGTERM) and returns its exit status, null if it does not end in time. */
    fun terminate(withinSeconds: Long): Int? {
        process.destroy()
        return if (process.waitFor(withinSeconds, TimeUnit.SECONDS)) process.exitValue() else null
    }

    private fun awaitLine(wanted: (String) -> Boolean): String {
        repeat(START_TRIES) {
            out.readLines().firstOrNull(wanted)?.let { return it }
            check(process.isAlive) { "$name ended, see $directory/$name.err" }
            Thread.sleep(START_PAUSE_MILLIS)
        }
        error("$name does not listen, see $directory/$name.err")
    }

    private companion object {
        const val START_TRIES = 600
        const val START_PAUSE_MILLIS = 50L
    }
}
