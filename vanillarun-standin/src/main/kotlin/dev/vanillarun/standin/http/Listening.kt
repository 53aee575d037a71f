package dev.vanillarun.standin.http

import kotlinx.serialization.Serializable

/** The line that a stand-in prints when it is ready. */
@Serializable
private data class Listening(val event: String = "listening", val standin: String, val address: String)

/** Prints that [standin] listens at [address] and waits until the process is ended. */
internal fun announceAndWait(standin: String, address: String) {
    println(wireJson.encodeToString(Listening(standin = standin, address = address)))
    System.out.flush()
    Thread.currentThread().join()
}
