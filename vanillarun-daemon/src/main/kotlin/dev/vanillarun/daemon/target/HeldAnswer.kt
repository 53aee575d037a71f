package dev.vanillarun.daemon.target

/** An answer that is kept back, as it may be a copy of the one to an earlier attempt. */
internal class HeldAnswer(val head: HeadReadResult.Received) {
    val parts = mutableListOf<ByteArray>()

    /** Bytes of [parts]. */
    val size: Int get() = parts.sumOf { it.size }

    /** True once the answer has come to its end. */
    var isWhole = false
}
