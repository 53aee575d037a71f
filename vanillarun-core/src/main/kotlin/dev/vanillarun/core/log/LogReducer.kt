package dev.vanillarun.core.log

/**
 * Folds the records of some streams into a state.
 *
 * A reducer is a pure function of the records that it reads: two readers of the same records have equal states. A
 * reader that starts after a truncation reaches the same decisions as one that read the whole log.
 */
public interface LogReducer<S> {
    /**
     * Initial state of a reader whose first record is at or after [from]. [Offset.Start] means that no record was
     * missed.
     */
    public fun begin(from: Offset): S

    /** State after records before [firstRetained] were dropped from the log without having been applied to [state]. */
    public fun truncate(state: S, firstRetained: Offset): S

    /** State after a record of a known type at [offset]. */
    public fun apply(state: S, offset: Offset, envelope: Envelope): S

    /** State after a record at [offset] that this build cannot decode. Unchanged by default. */
    public fun skip(state: S, offset: Offset): S = state
}

/** Number of records that a reader has read, by decoding result. */
public data class RecordCounts(
    /** Records of known types. */
    public val known: Long = 0,
    /** Well-formed records of a type that this build does not know, for instance written by a newer build. */
    public val unknown: Long = 0,
    /** Records that could not be decoded. */
    public val damaged: Long = 0,
)

/** State of a reader together with its offset in the log. */
public data class LogView<S>(
    /** State folded from all records before [next]. */
    public val state: S,
    /** Offset of the next record to read. */
    public val next: Offset,
    /** Number of records read so far. */
    public val counts: RecordCounts = RecordCounts(),
)

/** Initial view of a reader that starts at the beginning of the log. */
public fun <S> LogReducer<S>.start(): LogView<S> = LogView(begin(Offset.Start), Offset.Start)

/** [view] after one more [record]. Idempotent: a record before the next offset changes nothing. */
public fun <S> LogReducer<S>.applyRecord(view: LogView<S>, record: StoredRecord): LogView<S> {
    if (record.offset < view.next) return view
    val counts = view.counts
    val next = record.offset.next()
    return when (val decoded = RecordCodec.decode(record.payload)) {
        is DecodedRecord.Known -> LogView(
            state = apply(view.state, record.offset, decoded.envelope),
            next = next,
            counts = counts.copy(known = counts.known + 1),
        )

        is DecodedRecord.Unknown -> LogView(
            state = skip(view.state, record.offset),
            next = next,
            counts = counts.copy(unknown = counts.unknown + 1),
        )

        is DecodedRecord.Damaged -> LogView(
            state = skip(view.state, record.offset),
            next = next,
            counts = counts.copy(damaged = counts.damaged + 1),
        )
    }
}

/** [view] after all records of [page]. */
public fun <S> LogReducer<S>.read(view: LogView<S>, page: ReadResult.Page): LogView<S> {
    val folded = page.records.fold(view) { current, record -> applyRecord(current, record) }
    return folded.copy(next = maxOf(folded.next, page.next))
}

/** [view] after the log reported that the records at its offset are no longer retained. */
public fun <S> LogReducer<S>.resume(view: LogView<S>, truncated: ReadResult.Truncated): LogView<S> {
    if (truncated.firstRetained <= view.next) return view
    return view.copy(state = truncate(view.state, truncated.firstRetained), next = truncated.firstRetained)
}
