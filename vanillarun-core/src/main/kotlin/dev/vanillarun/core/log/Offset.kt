package dev.vanillarun.core.log

import kotlinx.serialization.Serializable

/** Offset of a record in the log of the platform. Offsets increase and are shared by all streams. */
@Serializable
@JvmInline
public value class Offset(
    /** Zero-based offset; -1 for [None]. */
    public val value: Long,
) : Comparable<Offset> {
    /** Offset that follows this one. */
    public fun next(): Offset = Offset(value + 1)

    override fun compareTo(other: Offset): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Offsets with a special meaning. */
    public companion object {
        /** Offset of the first record that was ever appended. */
        public val Start: Offset = Offset(0)

        /** Offset before all records, used as the base of the first publication. */
        public val None: Offset = Offset(-1)
    }
}

/** Name of a stream in the log of the platform, for instance `config` or `claim/3f`. */
@Serializable
@JvmInline
public value class StreamName(
    /** Lower-case path of at most 128 characters. */
    public val value: String,
) {
    override fun toString(): String = value

    /** Streams with a fixed name. */
    public companion object {
        /** Publications and snapshots of the configuration. */
        public val Config: StreamName = StreamName("config")

        /** Claims, renewals and releases of the leases of duties. */
        public val Duty: StreamName = StreamName("duty")

        /** Usage contributions and the windows that they are summed in. */
        public val Usage: StreamName = StreamName("usage")

        /** Fingerprints of requests that crash targets. */
        public val Quarantine: StreamName = StreamName("quarantine")

        /** Orders sent to targets. */
        public val Order: StreamName = StreamName("order")
    }
}
