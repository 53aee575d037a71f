package dev.vanillarun.core.usage

import dev.vanillarun.core.id.Incarnation
import dev.vanillarun.core.id.InstanceId
import dev.vanillarun.core.log.ClosedWindow
import dev.vanillarun.core.log.ContributionMark
import dev.vanillarun.core.log.Envelope
import dev.vanillarun.core.log.LogView
import dev.vanillarun.core.log.Offset
import dev.vanillarun.core.log.RecordId
import dev.vanillarun.core.log.UsageFigure
import dev.vanillarun.core.log.UsageSnapshot
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** Process run of an instance that contributes usage; its contributions carry increasing sequence numbers. */
public data class Contributor(
    /** Name of the instance. */
    public val instance: InstanceId,
    /** Process run of the instance; a restart gets another one. */
    public val incarnation: Incarnation,
)

internal val RecordId.contributor: Contributor get() = Contributor(writer, incarnation)

/** A record that is buffered until a snapshot supplies the state before it. */
public data class BufferedRecord(
    /** Position of the record in the log. */
    public val offset: Offset,
    /** Decoded record. */
    public val envelope: Envelope,
)

/** State that a reader of the usage stream has accumulated. */
public data class UsageState(
    /** Position from which the reader has seen the log without a gap. */
    public val readFrom: Offset,
    /** True if the figures are complete; false until a snapshot has supplied the state before [readFrom]. */
    public val whole: Boolean,
    /** Number of the open window, from zero. */
    public val window: Long = 0,
    /** Figures of the open window so far, ordered by customer. */
    public val open: List<UsageFigure> = emptyList(),
    /** Windows that are closed and not yet reported, ascending; their figures are final. */
    public val closed: List<ClosedWindow> = emptyList(),
    /** Last counted contribution of each run, for deduplication. */
    public val marks: PersistentMap<Contributor, ContributionMark> = persistentMapOf(),
    /** Records read while the figures were incomplete, which are applied once a snapshot is found. */
    public val bufferedRecords: PersistentList<BufferedRecord> = persistentListOf(),
    /** Position of the newest snapshot, from which a new reader can start; [Offset.None] if there is none. */
    public val lastSnapshot: Offset = Offset.None,
)

/** Snapshot of this state; null while its figures are incomplete. */
public fun LogView<UsageState>.toSnapshot(): UsageSnapshot? = state.takeIf { it.whole }?.run {
    UsageSnapshot(
        observed = Offset(next.value - 1),
        window = window,
        open = open,
        closed = closed,
        marks = marks.values.toList(),
    )
}
