package dev.vanillarun.standin.fault

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentListOf

/** A fault and the number of calls that it still hits; null means without end. */
public data class ArmedFault(
    /** The fault. */
    public val fault: Fault,
    /** Calls left. */
    public val left: Int?,
)

/** Outcome of asking the table about a call. */
public data class TakenFault(
    /** Table after the call. */
    public val table: FaultTable,
    /** Fault that hits the call, if any. */
    public val fault: Fault?,
)

/** The faults that are switched on, in the order in which they were. The first that matches a call hits it. */
public data class FaultTable(
    /** Faults that still hit calls. */
    public val armed: PersistentList<ArmedFault> = persistentListOf(),
) {
    /** Table with [fault] switched on; a fault of the same id is replaced. */
    public fun with(fault: Fault): FaultTable {
        val left = if (fault.count == 0) null else fault.count
        return FaultTable(without(fault.id).armed.add(ArmedFault(fault, left)))
    }

    /** Table without the fault of [id]. */
    public fun without(id: String): FaultTable = FaultTable(armed.mutate { all -> all.removeAll { it.fault.id == id } })

    /** Takes the fault that hits a call of [operation] with [body]. */
    public fun take(operation: String, body: String): TakenFault {
        val at = armed.indexOfFirst { it.fault.hits(operation, body) }
        if (at < 0) return TakenFault(this, fault = null)
        val hit = armed[at]
        val rest =
            when (hit.left) {
                null -> armed
                1 -> armed.removeAt(at)
                else -> armed.set(at, hit.copy(left = hit.left - 1))
            }
        return TakenFault(FaultTable(rest), hit.fault)
    }
}
