package dev.vanillarun.core.config

import dev.vanillarun.core.log.Offset

/** A configuration together with the publication that put it in force. */
public data class PublishedConfig(
    /** Position of the publication; [Offset.None] while nothing was ever published. */
    public val publication: Offset,
    /** Author of the publication. */
    public val author: String,
    /** Why it was published. */
    public val message: String,
    /** The whole configuration. */
    public val config: RolloutConfig,
)

/** What a reader of the configuration stream knows. */
public data class ConfigState(
    /** Earliest position that the reader has seen without a gap. */
    public val readFrom: Offset,
    /** Publication that the next one must name as its base; null until a snapshot has told. */
    public val base: Offset?,
    /** Configuration to serve; it never goes back to an older publication. */
    public val inForce: PublishedConfig? = null,
    /**
     * Newest publication known to a reader that cannot judge any more: what it had in force, and after it those that
     * name each other as their base. Null while the reader judges.
     */
    public val unconfirmed: PublishedConfig? = null,
    /** Position of the last record of the stream, of any kind. */
    public val lastRecord: Offset = Offset.None,
    /** Position of the newest record that a late reader can start from. */
    public val lastSnapshot: Offset = Offset.None,
) {
    /** True if publications can be judged. */
    public val hasBase: Boolean get() = base != null

    /** Author and position of the publication in force where both are known. */
    public val winner: PublishedConfig? get() = inForce?.takeIf { it.publication == base }
}
