package dev.vanillarun.daemon.stream

/** Splits a byte stream of server-sent events into events. Not safe for concurrent use. */
public class EventSplitter {
    private var rest = ByteArray(0)

    /** Number of buffered bytes of an incomplete event. */
    public val pending: Int get() = rest.size

    /** Appends [bytes] and returns the events that they complete, each with its terminating blank line. */
    public fun feed(bytes: ByteArray): List<ByteArray> {
        val all = if (rest.isEmpty()) bytes else rest + bytes
        val events = mutableListOf<ByteArray>()
        var start = 0
        var at = (rest.size - LOOK_BACK_BYTES).coerceAtLeast(0)
        while (at < all.size) {
            val end = blankLineEnd(all, at)
            if (end > start) {
                events += all.copyOfRange(start, end)
                start = end
                at = end
            } else {
                at++
            }
        }
        rest = if (start == 0) all else all.copyOfRange(start, all.size)
        return events
    }

    /** Index after the blank line whose first line feed is at [at], or -1 if there is none. */
    private fun blankLineEnd(all: ByteArray, at: Int): Int {
        if (all[at] != LF) return -1
        val next = at + 1
        return when {
            next < all.size && all[next] == LF -> next + 1
            next + 1 < all.size && all[next] == CR && all[next + 1] == LF -> next + 2
            else -> -1
        }
    }

    private companion object {
        const val LF = '\n'.code.toByte()
        const val CR = '\r'.code.toByte()

        /** Bytes of a blank line that may already be in the buffer. */
        const val LOOK_BACK_BYTES = 2
    }
}
