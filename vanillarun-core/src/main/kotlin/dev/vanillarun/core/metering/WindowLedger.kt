package dev.vanillarun.core.metering

import dev.vanillarun.core.id.CustomerId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Record of the usage topic. */
@Serializable
public sealed interface UsageRecord {
    /** Index of the window; window k starts k window lengths after the Unix epoch. */
    public val window: Long

    /** Number of requests that began in a window, as counted by one instance since its previous record. */
    @Serializable
    @SerialName("counted")
    public data class Counted(
        override val window: Long,
        /** Number of requests of each customer. */
        public val requests: Map<CustomerId, Long>,
    ) : UsageRecord

    /** The figures of a window are final. Only the first such record of a window has an effect. */
    @Serializable
    @SerialName("closed")
    public data class Closed(
        override val window: Long,
        /** Final number of requests of each customer. */
        public val requests: Map<CustomerId, Long>,
    ) : UsageRecord

    /** The platform accepted the report of a window. */
    @Serializable
    @SerialName("reported")
    public data class Reported(override val window: Long) : UsageRecord
}

/** State of one usage window. */
public data class UsageWindow(
    /** Sum of the requests of each customer that were counted while the window was open. */
    public val counted: PersistentMap<CustomerId, Long> = persistentMapOf(),
    /** Final figures; null while the window is open. */
    public val closed: Map<CustomerId, Long>? = null,
    /** True once the platform accepted the report of the final figures. */
    public val reported: Boolean = false,
)

/**
 * Usage in windows of wall-clock time, folded from the records in log order.
 *
 * The first [UsageRecord.Closed] of a window fixes its figures for every reader, whichever instance reports them and
 * however often. Counts that arrive later are dropped.
 */
public data class WindowLedger(
    /** Windows by index. */
    public val windows: PersistentMap<Long, UsageWindow> = persistentMapOf(),
) {
    /** Returns the ledger after [record]. */
    public fun apply(record: UsageRecord): WindowLedger {
        val before = windows[record.window] ?: UsageWindow()
        val after = when (record) {
            is UsageRecord.Counted -> if (before.closed == null) before.plus(record.requests) else before
            is UsageRecord.Closed -> if (before.closed == null) before.copy(closed = record.requests) else before
            is UsageRecord.Reported -> before.copy(reported = true)
        }
        return WindowLedger(windows.put(record.window, after))
    }

    /** Returns the ledger without the windows before [window]. */
    public fun startingAt(window: Long): WindowLedger =
        WindowLedger(windows.keys.filter { it < window }.fold(windows) { kept, old -> kept.remove(old) })

    private fun UsageWindow.plus(more: Map<CustomerId, Long>) = copy(
        counted = more.entries.fold(counted) { sum, (customer, count) ->
            sum.put(customer, (sum[customer] ?: 0) + count)
        },
    )
}
