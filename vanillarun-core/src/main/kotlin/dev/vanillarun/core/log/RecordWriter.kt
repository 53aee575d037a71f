package dev.vanillarun.core.log

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import java.util.concurrent.atomic.AtomicLong

/**
 * Assigns identities to the records that one run of a process writes. A process must have only one writer. Thread-safe.
 */
public class RecordWriter(
    /** Instance or command-line tool that writes the records. */
    public val writer: InstanceId,
    /** Run of the process. */
    public val incarnation: Incarnation,
) {
    private val sequence = AtomicLong()

    /**
     * Wraps [body] in an envelope with a new identity. A retried append must reuse the envelope, so that readers
     * recognise the duplicate.
     */
    public fun envelope(body: RecordBody): Envelope =
        Envelope(RecordId(writer, incarnation, sequence.getAndIncrement()), body)
}
