package dev.vanillarun.core.log

import kotlin.time.Duration

/** Record to append. */
public data class NewRecord(
    /** Stream to append the record to. */
    public val stream: StreamName,
    /** Encoded record, see [RecordCodec]. */
    public val payload: String,
)

/** Record that was read from the log. */
public data class StoredRecord(
    /** Offset of the record in the log. */
    public val offset: Offset,
    /** Stream that the record was appended to. */
    public val stream: StreamName,
    /** Encoded record, see [RecordCodec]. */
    public val payload: String,
)

/** Result of an append. */
public sealed interface AppendResult {
    /** All records were written at consecutive offsets, in order, starting at [first]. */
    public data class Appended(
        /** Offset of the first record of the batch. */
        public val first: Offset,
    ) : AppendResult

    /** No record was written. */
    public data class Refused(
        /** Reason that the platform gave. */
        public val reason: String,
        /** Delay after which the append may be retried. */
        public val retryAfter: Duration,
    ) : AppendResult

    /** The records may have been written, or may still be written later. Only reading the log can tell. */
    public data class InDoubt(
        /** Description of the failure, for messages. */
        public val reason: String,
    ) : AppendResult
}

/** Result of a read. */
public sealed interface ReadResult {
    /** Records of the requested streams between the requested offset and [next]. */
    public data class Page(
        /** Records in ascending order of their offsets. */
        public val records: List<StoredRecord>,
        /** Offset to continue reading at. All requested records before it are in [records] or in earlier pages. */
        public val next: Offset,
        /** Lowest offset that the log still retains. */
        public val firstRetained: Offset,
        /** Offset after the last record of the log at the time of the read. */
        public val end: Offset,
    ) : ReadResult

    /** The requested offset is no longer retained. */
    public data class Truncated(
        /** Lowest offset that the log still retains. */
        public val firstRetained: Offset,
    ) : ReadResult

    /** The log gave no usable response. */
    public data class Unavailable(
        /** Description of the failure, for messages. */
        public val reason: String,
    ) : ReadResult
}

/**
 * Append-only log of the platform, which provides the only total order that all processes share.
 *
 * There is no conditional append. A writer must treat a record as written only after it has read it back.
 */
public interface PlatformLog {
    /** Appends [records] atomically as one batch. */
    public suspend fun append(records: List<NewRecord>): AppendResult

    /**
     * Reads records of [streams] in log order, starting at offset [from].
     *
     * @param limit maximum number of records in the page
     * @param wait how long the platform may delay its response while there is no record to return (long polling)
     */
    public suspend fun read(
        streams: Set<StreamName>,
        from: Offset,
        limit: Int = 500,
        wait: Duration = Duration.ZERO,
    ): ReadResult
}
