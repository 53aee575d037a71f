package dev.vanillarun.core.usage

import dev.vanillarun.core.log.ClosedWindow
import dev.vanillarun.core.log.ContributionMark
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.LogReducer
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.log.UsageClose
import dev.vanillarun.core.log.UsageContribution
import dev.vanillarun.core.log.UsageReported
import dev.vanillarun.core.log.UsageSnapshot
import kotlinx.collections.immutable.toPersistentMap

/**
 * Adds usage contributions up into windows.
 *
 * The first record that closes the open window makes its figures final; contributions appended later belong to the
 * next window. A run has one contribution in flight at a time, so one whose sequence number is not greater than that of
 * the last counted contribution is a duplicate and is ignored. A reader that lacks the start of the log buffers records
 * until a snapshot supplies the state before them.
 */
public object UsageReducer : LogReducer<UsageState> {
    /** Number of windows for which the mark of a run's last contribution is retained, to detect late duplicates. */
    public const val MARK_RETENTION_WINDOWS: Long = 128

    override fun begin(from: Offset): UsageState = UsageState(readFrom = from, whole = from == Offset.Start)

    override fun truncate(state: UsageState, firstRetained: Offset): UsageState =
        begin(firstRetained).copy(lastSnapshot = state.lastSnapshot)

    override fun apply(state: UsageState, offset: Offset, envelope: Envelope): UsageState {
        val body = envelope.body
        return when {
            body is UsageSnapshot -> state.restore(offset, body)
            state.whole -> state.applyBody(envelope)
            else -> state.copy(bufferedRecords = state.bufferedRecords.add(BufferedRecord(offset, envelope)))
        }
    }

    private fun UsageState.applyBody(envelope: Envelope): UsageState = when (val body = envelope.body) {
        is UsageContribution -> count(envelope.id, body)
        is UsageClose -> close(body)
        is UsageReported -> copy(closed = closed.filter { it.window != body.window })
        else -> this
    }

    private fun UsageState.count(id: RecordId, contribution: UsageContribution): UsageState {
        val last = marks[id.contributor]
        if (last != null && id.sequence <= last.id.sequence) return this
        val mark = ContributionMark(id, window)
        return copy(open = open.mergedWith(contribution.figures), marks = marks.put(id.contributor, mark))
    }

    private fun UsageState.close(close: UsageClose): UsageState {
        if (close.window != window) return this
        val oldestRetained = window - MARK_RETENTION_WINDOWS
        return copy(
            window = window + 1,
            open = emptyList(),
            closed = closed.plusElement(ClosedWindow(window, open)),
            marks = marks.filterValues { it.window > oldestRetained }.toPersistentMap(),
        )
    }

    private fun UsageState.restore(offset: Offset, snapshot: UsageSnapshot): UsageState {
        if (snapshot.observed.next() < readFrom) return this
        if (whole) return copy(lastSnapshot = offset)
        val restored = UsageState(
            readFrom = readFrom,
            whole = true,
            window = snapshot.window,
            open = snapshot.open,
            closed = snapshot.closed,
            marks = snapshot.marks.associateBy { it.id.contributor }.toPersistentMap(),
            lastSnapshot = offset,
        )
        return bufferedRecords.filter {
            it.offset > snapshot.observed
        }.fold(restored) { current, buffered -> current.applyBody(buffered.envelope) }
    }
}
