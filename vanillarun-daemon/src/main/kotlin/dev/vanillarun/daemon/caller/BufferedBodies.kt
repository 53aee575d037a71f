package dev.vanillarun.daemon.caller

import java.util.concurrent.atomic.AtomicLong

/** Bytes of request bodies that the instance holds at a time, at most [limit]. */
public class BufferedBodies(private val limit: Long) {
    private val held = AtomicLong()

    /** Bytes held now. */
    public val bytes: Long get() = held.get()

    /** The bytes of one call. One coroutine at a time changes it. */
    public inner class Reservation internal constructor() : AutoCloseable {
        private var taken = 0L

        /** Asks for [total] bytes in all; false if they would exceed the limit. */
        internal fun grow(total: Long): Boolean {
            val more = total - taken
            if (more <= 0) return true
            val before = held.getAndUpdate { if (it + more > limit) it else it + more }
            val granted = before + more <= limit
            if (granted) taken = total
            return granted
        }

        override fun close() {
            held.addAndGet(-taken)
            taken = 0
        }
    }

    /** Begins to hold a body. */
    public fun reservation(): Reservation = Reservation()
}
