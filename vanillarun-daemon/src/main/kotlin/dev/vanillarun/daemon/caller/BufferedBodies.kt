package dev.vanillarun.daemon.caller

import java.util.concurrent.atomic.AtomicLong

/** Limits the bytes of request bodies that the instance buffers at a time to [limit]. */
public class BufferedBodies(private val limit: Long) {
    private val reserved = AtomicLong()

    /** Bytes that are reserved now, over all calls. */
    public val bytes: Long get() = reserved.get()

    /** The bytes that one call has reserved. Not safe for concurrent use. */
    public inner class Reservation internal constructor() : AutoCloseable {
        private var reservedHere = 0L

        /** Grows the reservation to [total] bytes; false, without effect, if that would exceed the limit. */
        internal fun grow(total: Long): Boolean {
            val increase = total - reservedHere
            if (increase <= 0) return true
            val before = reserved.getAndUpdate { if (it + increase > limit) it else it + increase }
            val granted = before + increase <= limit
            if (granted) reservedHere = total
            return granted
        }

        override fun close() {
            reserved.addAndGet(-reservedHere)
            reservedHere = 0
        }
    }

    /** Creates an empty reservation; closing it releases its bytes. */
    public fun reservation(): Reservation = Reservation()
}
