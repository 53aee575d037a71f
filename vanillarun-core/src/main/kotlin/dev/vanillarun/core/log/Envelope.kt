package dev.vanillarun.core.log

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import kotlinx.serialization.Serializable

/** Identity of a record, assigned by its writer before the append. Records with equal identities are duplicates. */
@Serializable
public data class RecordId(
    /** Instance or command-line tool that wrote the record. */
    public val writer: InstanceId,
    /** Run of the writer; a restarted process has a new one. */
    public val incarnation: Incarnation,
    /** Zero-based sequence number of the record within the run. */
    public val sequence: Long,
)

/** Record as it is stored: the body with its identity and format version. */
@Serializable
public data class Envelope(
    /** Identity by which readers recognise duplicates. */
    public val id: RecordId,
    /** Typed content of the record. */
    public val body: RecordBody,
    /** Version of the record format that the writer used. */
    public val version: Int = CURRENT_VERSION,
) {
    /** Constants of the record format. */
    public companion object {
        /** Format version that this build writes. */
        public const val CURRENT_VERSION: Int = 1
    }
}
