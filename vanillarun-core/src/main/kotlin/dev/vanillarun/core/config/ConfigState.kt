package dev.vanillarun.core.config

import dev.vanillarun.core.log.Offset

/** A configuration and the publication that put it into force. */
public data class PublishedConfig(
    /** Offset of the publication; [Offset.None] while nothing has been published. */
    public val publication: Offset,
    /** Author, as given by the operator. */
    public val author: String,
    /** Reason for the publication, as given by the operator. */
    public val message: String,
    /** The complete configuration, also if the publication was a change. */
    public val config: RolloutConfig,
)

/** State of a reader of the configuration stream. */
public data class ConfigState(
    /** Offset from which the reader has read the log without a gap. */
    public val readFrom: Offset,
    /** Publication that the next one must name as its base; null while unknown, until a snapshot is accepted. */
    public val base: Offset?,
    /** Configuration to serve; never reverts to an older publication. Null if none is known. */
    public val inForce: PublishedConfig? = null,
    /**
     * Newest publication known to a reader that has lost its base: the one that it had in force, or the last of the
     * publications after it of which each names the one before as its base. Null while the reader has a base.
     */
    public val unconfirmed: PublishedConfig? = null,
    /** Offset of the last record of the stream, of any kind. */
    public val lastRecord: Offset = Offset.None,
    /** Offset of the newest accepted snapshot, from which a new reader can start. */
    public val lastSnapshot: Offset = Offset.None,
) {
    /** True if the reader can decide which publications are accepted. */
    public val hasBase: Boolean get() = base != null

    /**
     * Publication in force that is known to be the newest; null if the reader has no base, does not know the
     * configuration of its base, or nothing has been published.
     */
    public val confirmed: PublishedConfig? get() = inForce?.takeIf { it.publication == base }
}
