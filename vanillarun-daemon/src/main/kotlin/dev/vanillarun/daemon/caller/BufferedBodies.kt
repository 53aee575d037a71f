package dev.vanillarun.daemon.caller

import java.util.concurrent.atomic.AtomicLong

/** Limits the bytes of the bodies of one direction, requests or responses, that the instance buffers to [limit]. */
public class BufferedBodies(private val limit: Long) {
    private val reserved = AtomicLong()

    /** Bytes that are reserved now, over all bodies. */
    public val bytes: Long get() = reserved.get()

    /** The bytes that one body has reserved. Not safe for concurrent use. */
    public inner class Reservation internal constructor() : AutoCloseable {
        private var reservedHere = 0L

        /** Grows the reservation to [total] bytes; false, without effect, if that would exceed the limit. */
        public fun grow(total: Long): Boolean {
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
