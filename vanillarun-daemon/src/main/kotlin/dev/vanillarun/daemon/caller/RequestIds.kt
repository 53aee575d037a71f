package dev.vanillarun.daemon.caller

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.RequestId
import java.util.concurrent.atomic.AtomicLong

/** Generates request identities that are unique over all instances and process runs. */
public class RequestIds(private val incarnation: Incarnation) {
    private val counter = AtomicLong()

    /** A new identity: the incarnation and a counter in base 36. */
    public fun next(): RequestId = RequestId("${incarnation.value}-${counter.incrementAndGet().toString(RADIX)}")

    private companion object {
        const val RADIX = 36
    }
}
