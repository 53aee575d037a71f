package dev.vanillarun.core.metering

import dev.vanillarun.core.id.CustomerId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of the usage topic. */
@Serializable
public sealed interface UsageRecord {
    /** Number of the window; window k begins k window lengths after the start of 1970. */
    public val window: Long

    /** Requests that one instance saw begin in a window since its previous record. */
    @Serializable
    @SerialName("counted")
    public data class Counted(
        override val window: Long,
        /** Requests by customer. */
        public val requests: Map<CustomerId, Long>,
    ) : UsageRecord

    /** The figures of a window are final. */
    @Serializable
    @SerialName("closed")
    public data class Closed(
        override val window: Long,
        /** Requests by customer. */
        public val requests: Map<CustomerId, Long>,
    ) : UsageRecord

    /** The platform took the report of a window. */
    @Serializable
    @SerialName("reported")
    public data class Reported(override val window: Long) : UsageRecord
}

/** What is known of one window. */
public data class UsageWindow(
    /** Sum of what was counted. */
    public val counted: PersistentMap<CustomerId, Long> = persistentMapOf(),
    /** Final figures; null while the window is open. */
    public val closed: Map<CustomerId, Long>? = null,
    /** True once the platform has taken them. */
    public val reported: Boolean = false,
)

/**
 * Usage by windows of wall-clock time, folded from records in the order of the store.
 *
 * The first [UsageRecord.Closed] of a window fixes its figures for every reader, whoever reports them and however
 * often. What is counted later is dropped.
 */
public data class WindowLedger(
    /** Windows by number. */
    public val windows: PersistentMap<Long, UsageWindow> = persistentMapOf(),
) {
    /** The ledger after [record]. */
    public fun apply(record: UsageRecord): WindowLedger {
        val before = windows[record.window] ?: UsageWindow()
        val after = when (record) {
            is UsageRecord.Counted -> if (before.closed == null) before.plus(record.requests) else before
            is UsageRecord.Closed -> if (before.closed == null) before.copy(closed = record.requests) else before
            is UsageRecord.Reported -> before.copy(reported = true)
        }
        return WindowLedger(windows.put(record.window, after))
    }

    /** The ledger without windows before [window]. */
    public fun from(window: Long): WindowLedger =
        WindowLedger(windows.keys.filter { it < window }.fold(windows) { kept, old -> kept.remove(old) })

    private fun UsageWindow.plus(more: Map<CustomerId, Long>) =
        copy(counted = more.entries.fold(counted) { sum, (who, count) -> sum.put(who, (sum[who] ?: 0) + count) })
}
